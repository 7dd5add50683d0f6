/** Maps the messages between entries to and from wire messages. */
import type {ProcessIdentity} from '../core/identity.js';
import {RequestKind} from '../entry/request_router.js';
import type {ConfigurationView} from '../records/configuration_view.js';
import {StoreContact} from '../records/configuration_view.js';
import * as wire from './generated/foxtailbay.js';
import {decodeConfiguration, encodeConfiguration} from './link_codec.js';

/** A caller's request that is forwarded to the owner of its key. */
export interface PeerRequest {
  readonly kind: RequestKind;
  readonly key: string;
  readonly body: Uint8Array;
  readonly trace: string;
  readonly isDetached: boolean;
}

/** The owner's answer to a forwarded request. */
export interface PeerReply {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
  readonly retryAfterMs: number;
}

/** An announcement: a configuration, and the sender's address and sessions. */
export interface PeerConfiguration {
  readonly view: ConfigurationView;
  /** `host:port` at which other entries reach the sender. */
  readonly senderAddress: string;
  /** Ended entry incarnations whose sessions the sender holds. */
  readonly heldIncarnations: readonly string[];
}

/** The revision that an entry has in force, and its contact with the store. */
export interface PeerConfigurationState {
  readonly entry: ProcessIdentity;
  readonly revision: number;
  readonly contact: StoreContact;
}

/** Kinds by their number on the wire; an unspecified one is a look-up. */
const KINDS: ReadonlyArray<RequestKind> = [
  RequestKind.LOOK_UP,
  RequestKind.SUBMIT,
  RequestKind.LOOK_UP,
  RequestKind.CANCEL,
];

const WIRE_KINDS: Readonly<Record<RequestKind, wire.ForwardKind>> = {
  [RequestKind.SUBMIT]: wire.ForwardKind.SUBMIT,
  [RequestKind.LOOK_UP]: wire.ForwardKind.LOOK_UP,
  [RequestKind.CANCEL]: wire.ForwardKind.CANCEL,
};

/** Converts a forwarded request to its wire message. */
export function encodeForwardRequest(
  request: PeerRequest,
): wire.ForwardRequest {
  return {
    kind: WIRE_KINDS[request.kind],
    key: request.key,
    team: '',
    body: request.body as Buffer,
    trace: request.trace,
    detached: request.isDetached,
  };
}

/** Converts a wire message to a forwarded request. */
export function decodeForwardRequest(
  request: wire.ForwardRequest,
): PeerRequest {
  return {
    kind: KINDS[request.kind] ?? RequestKind.LOOK_UP,
    key: request.key,
    body: request.body,
    trace: request.trace,
    isDetached: request.detached,
  };
}

/** Converts the answer to a forwarded request to its wire message. */
export function encodeForwardReply(reply: PeerReply): wire.ForwardReply {
  return {...reply};
}

/** Converts a wire message to the answer to a forwarded request. */
export function decodeForwardReply(reply: wire.ForwardReply): PeerReply {
  return {...reply, body: Buffer.from(reply.body)};
}

/** Converts an announcement to its wire message. */
export function encodePeerConfiguration(
  configuration: PeerConfiguration,
): wire.PeerConfiguration {
  const {view, senderAddress, heldIncarnations} = configuration;
  return {
    senderAddress,
    heldIncarnations: [...heldIncarnations],
    summary: encodeConfiguration(view),
    teams: [...view.teams.values()].map(team => ({...team})),
    taskClasses: [...view.taskClasses.values()].map(entry => ({...entry})),
  };
}

/** Converts a wire message to an announcement. */
export function decodePeerConfiguration(
  message: wire.PeerConfiguration,
): PeerConfiguration {
  const summary = message.summary ?? {
    revision: 0,
    dataCentresOut: [],
    entries: [],
  };
  const view: ConfigurationView = {
    ...decodeConfiguration(summary),
    teams: new Map(message.teams.map(team => [team.name, team])),
    taskClasses: new Map(message.taskClasses.map(entry => [entry.name, entry])),
  };
  const {senderAddress, heldIncarnations} = message;
  return {view, senderAddress, heldIncarnations};
}

/** Converts the reply to an announcement to its wire message. */
export function encodeConfigurationState(
  state: PeerConfigurationState,
): wire.ConfigurationState {
  const isConfirmed = state.contact === StoreContact.CONFIRMED;
  return {
    entry: {...state.entry},
    revision: state.revision,
    contact: isConfirmed ? wire.StoreContact.CONFIRMED : wire.StoreContact.LOST,
  };
}

/** Converts a wire message to the reply to an announcement. */
export function decodeConfigurationState(
  state: wire.ConfigurationState,
): PeerConfigurationState {
  return {
    entry: state.entry ?? {id: '', incarnation: '', dataCentre: ''},
    revision: state.revision,
    contact:
      state.contact === wire.StoreContact.CONFIRMED
        ? StoreContact.CONFIRMED
        : StoreContact.LOST,
  };
}
