/** Calls other entries over gRPC, each call sent at most once. */
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

/** How a call to a peer ended. */
export enum PeerCallOutcome {
  ANSWERED = 'answered',
  /** No answer; the peer may or may not have taken the call. */
  LOST = 'lost',
  /** The peer said that it did not take the call. */
  REFUSED = 'refused',
}

/** The end of a call, with the answer if there is one. */
export interface PeerCallResult<T> {
  readonly outcome: PeerCallOutcome;
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
  /** Hands ledgers over; resolves when the peer has taken all, or not. */
  readonly sendKeyTables: (
    ledgers: readonly KeyTableSnapshot[],
    withinMs: number,
  ) => Promise<PeerCallResult<HandOverReceipt>>;
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
    sendKeyTables: (ledgers, withinMs) =>
      sendLedgers(client, ledgers, withinMs),
    close: () => client.close(),
  };
};

function sendLedgers(
  client: PeerLinkClient,
  ledgers: readonly KeyTableSnapshot[],
  withinMs: number,
): Promise<PeerCallResult<HandOverReceipt>> {
  return new Promise(resolve => {
    const call = client.handOver(
      new Metadata(),
      {deadline: computeDeadline(withinMs)},
      (failure, receipt) => resolve(describeEnd(failure, () => receipt)),
    );
    call.on('error', () => undefined);
    const parts = listParts(ledgers);
    const writeOn = () => {
      for (;;) {
        const next = parts.next();
        if (next.done) return void call.end();
        if (call.write(next.value)) continue;
        call.once('drain', writeOn);
        return;
      }
    };
    writeOn();
  });
}

function* listParts(
  ledgers: readonly KeyTableSnapshot[],
): Generator<HandOverPart, undefined> {
  for (const ledger of ledgers) yield* encodeKeyTable(ledger);
  return undefined;
}

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
    return {outcome: PeerCallOutcome.ANSWERED, value: decode(), detail: ''};
  }
  const detail = `${status[failure.code]}: ${failure.details}`;
  const isRefused = failure.code === status.FAILED_PRECONDITION;
  return {
    outcome: isRefused ? PeerCallOutcome.REFUSED : PeerCallOutcome.LOST,
    detail,
  };
}
