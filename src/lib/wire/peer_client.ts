/** Calls other entries over gRPC; each call is sent at most once. */
import {credentials, Metadata, status} from '@grpc/grpc-js';
import type {ServiceError} from '@grpc/grpc-js';
import type {KeyTableSnapshot} from '../entry/dispatcher_messages.js';
import {PeerLinkClient} from './generated/foxtailbay.js';
import type {HandOverPart, HandOverReceipt} from './generated/foxtailbay.js';
import {encodeKeyTable} from './hand_over_codec.js';
import {CHANNEL_OPTIONS} from './link_client.js';
import {
  decodeConfigurationState,
  decodeForwardReply,
  encodeForwardRequest,
  encodePeerConfiguration,
} from './peer_codec.js';
import type {
  PeerConfiguration,
  PeerConfigurationState,
  PeerReply,
  PeerRequest,
} from './peer_codec.js';

/** The outcome of a call to a peer. */
export enum PeerCallOutcome {
  ANSWERED = 'answered',
  /** No reply; the peer may or may not have handled the call. */
  LOST = 'lost',
  /** The peer replied that it did not handle the call. */
  REFUSED = 'refused',
}

/** The outcome of a call, with the reply if there is one. */
export interface PeerCallResult<T> {
  readonly outcome: PeerCallOutcome;
  readonly value?: T;
  readonly detail: string;
}

/** A connection to one peer; a failed call resolves with its outcome. */
export interface PeerConnection {
  readonly forward: (
    request: PeerRequest,
    timeoutMs: number,
  ) => Promise<PeerCallResult<PeerReply>>;
  readonly announce: (
    configuration: PeerConfiguration,
    timeoutMs: number,
  ) => Promise<PeerCallResult<PeerConfigurationState>>;
  /** Hands key tables over; the peer takes over all of them or none. */
  readonly sendKeyTables: (
    keyTables: readonly KeyTableSnapshot[],
    timeoutMs: number,
  ) => Promise<PeerCallResult<HandOverReceipt>>;
  readonly close: () => void;
}

/** Opens a connection to the entry at `host:port`. */
export type ConnectPeer = (address: string) => PeerConnection;

/** Connects over gRPC, with a channel that is not shared. */
export const connectPeer: ConnectPeer = address => {
  const client = new PeerLinkClient(
    address,
    credentials.createInsecure(),
    CHANNEL_OPTIONS,
  );
  return {
    forward: (request, timeoutMs) =>
      new Promise(resolve => {
        client.forward(
          encodeForwardRequest(request),
          new Metadata(),
          {deadline: computeDeadline(timeoutMs)},
          (failure, reply) =>
            resolve(describeOutcome(failure, () => decodeForwardReply(reply))),
        );
      }),
    announce: (configuration, timeoutMs) =>
      new Promise(resolve => {
        client.announce(
          encodePeerConfiguration(configuration),
          new Metadata(),
          {deadline: computeDeadline(timeoutMs)},
          (failure, state) =>
            resolve(
              describeOutcome(failure, () => decodeConfigurationState(state)),
            ),
        );
      }),
    sendKeyTables: (keyTables, timeoutMs) =>
      sendKeyTables(client, keyTables, timeoutMs),
    close: () => client.close(),
  };
};

function sendKeyTables(
  client: PeerLinkClient,
  keyTables: readonly KeyTableSnapshot[],
  timeoutMs: number,
): Promise<PeerCallResult<HandOverReceipt>> {
  return new Promise(resolve => {
    const call = client.handOver(
      new Metadata(),
      {deadline: computeDeadline(timeoutMs)},
      (failure, receipt) => resolve(describeOutcome(failure, () => receipt)),
    );
    call.on('error', () => undefined);
    const parts = listParts(keyTables);
    const writeParts = () => {
      for (;;) {
        const next = parts.next();
        if (next.done) return void call.end();
        if (call.write(next.value)) continue;
        call.once('drain', writeParts);
        return;
      }
    };
    writeParts();
  });
}

function* listParts(
  keyTables: readonly KeyTableSnapshot[],
): Generator<HandOverPart, undefined> {
  for (const keyTable of keyTables) yield* encodeKeyTable(keyTable);
  return undefined;
}

// The gRPC library expects a wall-clock time; it is computed just before use.
function computeDeadline(timeoutMs: number): Date {
  const deadline = new Date();
  deadline.setMilliseconds(deadline.getMilliseconds() + timeoutMs);
  return deadline;
}

function describeOutcome<T>(
  failure: ServiceError | null,
  decode: () => T,
): PeerCallResult<T> {
  if (failure === null) {
    return {outcome: PeerCallOutcome.ANSWERED, value: decode(), detail: ''};
  }
  const detail = `${status[failure.code]}: ${failure.details}`;
  const isRefused = failure.code === status.FAILED_PRECONDITION;
  return {
    outcome: isRefused ? PeerCallOutcome.REFUSED : PeerCallOutcome.LOST,
    detail,
  };
}
