/** Serves the agents' streams and the calls of other entries over gRPC. */
import {Server, ServerCredentials, status} from '@grpc/grpc-js';
import type {
  sendUnaryData,
  ServerDuplexStream,
  ServerReadableStream,
  ServerUnaryCall,
} from '@grpc/grpc-js';
import {AddressError} from '../core/errors.js';
import type {KeyTableSnapshot} from '../entry/dispatcher_messages.js';
import type {AgentFrame, EntryFrame} from '../core/link_messages.js';
import {
  AgentLinkService,
  ConfigurationState,
  PeerLinkService,
} from './generated/foxtailbay.js';
import type {HandOverReceipt} from './generated/foxtailbay.js';
import type * as wire from './generated/foxtailbay.js';
import {KeyTableCollector} from './hand_over_codec.js';
import {decodeAgentFrame, encodeEntryFrame} from './link_codec.js';
import {MAX_FRAME_BYTES} from './link_client.js';
import {
  decodeForwardRequest,
  decodePeerConfiguration,
  encodeConfigurationState,
  encodeForwardReply,
} from './peer_codec.js';
import type {
  PeerConfiguration,
  PeerConfigurationState,
  PeerReply,
  PeerRequest,
} from './peer_codec.js';

/** The entry's side of one agent's stream. */
export interface ServedStream {
  readonly id: number;
  /** Writes a frame; buffers in order while the agent reads slowly. */
  readonly send: (frame: EntryFrame) => void;
  readonly close: () => void;
}

/** Address and handlers of the server. */
export interface LinkServerOptions {
  readonly host: string;
  readonly port: number;
  readonly receiveFrame: (stream: ServedStream, frame: AgentFrame) => void;
  readonly reportClosed: (stream: ServedStream) => void;
  readonly handleForward: (
    request: PeerRequest,
    answer: (reply: PeerReply) => void,
  ) => void;
  readonly handleAnnouncement: (
    configuration: PeerConfiguration,
    answer: (state: PeerConfigurationState) => void,
  ) => void;
  /**
   * Takes over all of the key tables or none; `answer` receives true if it has
   * taken them over.
   */
  readonly handleHandOver: (
    keyTables: readonly KeyTableSnapshot[],
    answer: (isAccepted: boolean) => void,
  ) => void;
}

/** An open gRPC server. */
export interface LinkServer {
  readonly port: number;
  /** Closes the listener and ends all streams and calls. */
  readonly close: () => Promise<void>;
}

const SHUTDOWN_TIMEOUT_MS = 500;

/**
 * Opens the gRPC server of an entry.
 *
 * @throws AddressError if the address cannot be listened on.
 */
export async function openLinkServer(
  options: LinkServerOptions,
): Promise<LinkServer> {
  const server = new Server({
    'grpc.max_receive_message_length': MAX_FRAME_BYTES,
    'grpc.max_send_message_length': MAX_FRAME_BYTES,
    'grpc.max_concurrent_streams': 100_000,
    // With SO_REUSEPORT two processes could bind one address unnoticed, and the
    // kernel would spread its connections over both.
    'grpc.so_reuseport': 0,
  });
  let lastStreamId = 0;
  server.addService(AgentLinkService, {
    connect: (call: AgentCall) => {
      lastStreamId += 1;
      serveStream(options, call, lastStreamId);
    },
  });
  server.addService(PeerLinkService, {
    forward: (call: ForwardCall, done: sendUnaryData<wire.ForwardReply>) =>
      options.handleForward(decodeForwardRequest(call.request), reply =>
        done(null, encodeForwardReply(reply)),
      ),
    announce: (call: AnnounceCall, done: sendUnaryData<ConfigurationState>) =>
      options.handleAnnouncement(decodePeerConfiguration(call.request), state =>
        done(null, encodeConfigurationState(state)),
      ),
    handOver: (call: HandOverCall, done: sendUnaryData<HandOverReceipt>) =>
      collectKeyTables(options, call, done),
  });
  const port = await bind(server, options);
  return {port, close: () => stopServer(server)};
}

type AgentCall = ServerDuplexStream<wire.AgentFrame, wire.EntryFrame>;
type ForwardCall = ServerUnaryCall<wire.ForwardRequest, wire.ForwardReply>;
type AnnounceCall = ServerUnaryCall<
  wire.PeerConfiguration,
  wire.ConfigurationState
>;

type HandOverCall = ServerReadableStream<wire.HandOverPart, HandOverReceipt>;

function collectKeyTables(
  options: LinkServerOptions,
  call: HandOverCall,
  done: sendUnaryData<HandOverReceipt>,
): void {
  const collector = KeyTableCollector.create();
  let isAborted = false;
  call.on('data', (part: wire.HandOverPart) => collector.add(part));
  call.on('error', () => (isAborted = true));
  call.on('cancelled', () => (isAborted = true));
  call.on('end', () => {
    if (isAborted || call.cancelled) return;
    const keyTables = collector.listSnapshots();
    options.handleHandOver(keyTables, isAccepted => {
      if (isAccepted) return done(null, countKeys(keyTables));
      const details = 'This entry is stopping.';
      done({code: status.FAILED_PRECONDITION, details});
    });
  });
}

function countKeys(keyTables: readonly KeyTableSnapshot[]): HandOverReceipt {
  const sessions = keyTables.flatMap(keyTable => keyTable.sessions);
  const keys = sessions.reduce((sum, session) => sum + session.keys.length, 0);
  return {sessions: sessions.length, keys};
}

function serveStream(
  options: LinkServerOptions,
  call: AgentCall,
  id: number,
): void {
  let isDone = false;
  const finish = () => {
    if (isDone) return;
    isDone = true;
    options.reportClosed(stream);
  };
  const stream: ServedStream = {
    id,
    send: frame => {
      if (!isDone) call.write(encodeEntryFrame(frame));
    },
    close: () => {
      finish();
      call.emit('error', {code: status.CANCELLED, details: 'Closed.'});
    },
  };
  call.on('data', (frame: wire.AgentFrame) => {
    if (!isDone) options.receiveFrame(stream, decodeAgentFrame(frame));
  });
  call.on('error', finish);
  call.on('cancelled', finish);
  call.on('end', () => {
    finish();
    call.end();
  });
}

function bind(server: Server, options: LinkServerOptions): Promise<number> {
  const {host, port} = options;
  return new Promise((resolve, reject) => {
    server.bindAsync(
      `${host}:${port}`,
      ServerCredentials.createInsecure(),
      (cause, bound) => {
        if (cause === null) return resolve(bound);
        const text = `Cannot listen on ${host}:${port}.`;
        reject(new AddressError(text, {cause}));
      },
    );
  });
}

function stopServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    const force = setTimeout(() => {
      server.forceShutdown();
      resolve();
    }, SHUTDOWN_TIMEOUT_MS);
    server.tryShutdown(() => {
      clearTimeout(force);
      resolve();
    });
  });
}
