/** Calls other entries over gRPC, each call sent at most once. */
import {credentials, Metadata, status} from '@grpc/grpc-js';
import type {ServiceError} from '@grpc/grpc-js';
import {PeerLinkClient} from './generated/foxtailbay.js';
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

/** How a call to a peer ended. */
export enum PeerCallEnd {
  ANSWERED = 'answered',
  /** No answer; the peer may or may not have taken the call. */
  LOST = 'lost',
}

/** The end of a call, with the answer if there is one. */
export interface PeerCallResult<T> {
  readonly end: PeerCallEnd;
  readonly value?: T;
  readonly detail: string;
}

/** The connection to one peer. */
export interface PeerConnection {
  readonly forward: (
    request: PeerRequest,
    withinMs: number,
  ) => Promise<PeerCallResult<PeerReply>>;
  readonly announce: (
    configuration: PeerConfiguration,
    withinMs: number,
  ) => Promise<PeerCallResult<PeerConfigurationState>>;
  readonly close: () => void;
}

/** Opens a connection to the entry at `host:port`. */
export type ConnectPeer = (address: string) => PeerConnection;

/** Connects by gRPC. */
export const connectPeer: ConnectPeer = address => {
  const client = new PeerLinkClient(
    address,
    credentials.createInsecure(),
    CHANNEL_OPTIONS,
  );
  return {
    forward: (request, withinMs) =>
      new Promise(resolve => {
        client.forward(
          encodeForwardRequest(request),
          new Metadata(),
          {deadline: computeDeadline(withinMs)},
          (failure, reply) =>
            resolve(describeEnd(failure, () => decodeForwardReply(reply))),
        );
      }),
    announce: (configuration, withinMs) =>
      new Promise(resolve => {
        client.announce(
          encodePeerConfiguration(configuration),
          new Metadata(),
          {deadline: computeDeadline(withinMs)},
          (failure, state) =>
            resolve(
              describeEnd(failure, () => decodeConfigurationState(state)),
            ),
        );
      }),
    close: () => client.close(),
  };
};

// The library takes a point of the wall clock; it is made and used at once.
function computeDeadline(withinMs: number): Date {
  const deadline = new Date();
  deadline.setMilliseconds(deadline.getMilliseconds() + withinMs);
  return deadline;
}

function describeEnd<T>(
  failure: ServiceError | null,
  decode: () => T,
): PeerCallResult<T> {
  if (failure === null) {
    return {end: PeerCallEnd.ANSWERED, value: decode(), detail: ''};
  }
  const detail = `${status[failure.code]}: ${failure.details}`;
  return {end: PeerCallEnd.LOST, detail};
}
