/** Streams of frames between our processes: gRPC with JSON messages. */
import {
  Client,
  credentials,
  Server,
  ServerCredentials,
  status,
} from '@grpc/grpc-js';
import type {ClientOptions, ServerDuplexStream} from '@grpc/grpc-js';
import {AddressError} from '../../core/errors.js';

/** One end of an open stream. */
export interface FrameStream<Out> {
  /** Queues frames for sending, in order. */
  readonly send: (frames: readonly Out[]) => void;
  /** Closes the stream; nothing is reported after it. */
  readonly close: () => void;
}

/** Is told what happens on a stream. */
export interface FrameListener<In> {
  readonly receive: (frames: readonly In[]) => void;
  /** Is called once when the stream has ended for whatever reason. */
  readonly fail: (detail: string) => void;
}

/** Opens a stream to `host:port`. */
export type OpenFrameStream<Out, In> = (
  address: string,
  listener: FrameListener<In>,
) => FrameStream<Out>;

/** Is called for each stream that a peer opens; returns its listener. */
export type AcceptFrameStream<Out, In> = (
  stream: FrameStream<Out>,
) => FrameListener<In>;

/** An open listener. */
export interface FrameServer {
  readonly close: () => void;
}

/** Longest message in bytes; the largest is a whole configuration. */
const MESSAGE_BYTES_AT_MOST = 8 * 1024 * 1024;

const METHOD_PATH = '/foxtailbay.Work/Connect';

// Retries and name lookups off: a frame is sent once, on one connection.
const CHANNEL_OPTIONS: ClientOptions = {
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.max_receive_message_length': MESSAGE_BYTES_AT_MOST,
  'grpc.use_local_subchannel_pool': 1,
};

function encode(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function decode<T>(bytes: Buffer): T {
  return JSON.parse(bytes.toString()) as T;
}

/** Opens a stream on a connection of its own. */
export function openFrameStream<Out, In>(
  address: string,
  listener: FrameListener<In>,
): FrameStream<Out> {
  const client = new Client(
    address,
    credentials.createInsecure(),
    CHANNEL_OPTIONS,
  );
  const call = client.makeBidiStreamRequest<readonly Out[], readonly In[]>(
    METHOD_PATH,
    encode,
    decode<readonly In[]>,
  );
  let isDone = false;
  const end = () => {
    isDone = true;
    call.cancel();
    client.close();
  };
  const finish = (detail: string) => {
    if (isDone) return;
    end();
    listener.fail(detail);
  };
  call.on('data', (frames: readonly In[]) => {
    if (!isDone) listener.receive(frames);
  });
  call.on('error', failure => finish(failure.message));
  call.on('end', () => finish('The peer closed the stream.'));
  return {
    send: frames => {
      if (!isDone) call.write(frames);
    },
    close: () => {
      if (!isDone) end();
    },
  };
}

/**
 * Listens for streams.
 *
 * @throws AddressError if the address cannot be listened on.
 */
export async function openFrameServer<Out, In>(
  address: string,
  accept: AcceptFrameStream<Out, In>,
): Promise<FrameServer> {
  const server = new Server({
    'grpc.max_receive_message_length': MESSAGE_BYTES_AT_MOST,
    'grpc.so_reuseport': 0,
  });
  const connect = {
    path: METHOD_PATH,
    requestStream: true,
    responseStream: true,
    requestSerialize: encode,
    requestDeserialize: decode<readonly In[]>,
    responseSerialize: encode,
    responseDeserialize: decode<readonly Out[]>,
  } as const;
  server.addService(
    {connect},
    {
      connect: (call: ServerDuplexStream<readonly In[], readonly Out[]>) =>
        serveStream(call, accept),
    },
  );
  await bind(server, address);
  return {close: () => server.forceShutdown()};
}

function serveStream<Out, In>(
  call: ServerDuplexStream<readonly In[], readonly Out[]>,
  accept: AcceptFrameStream<Out, In>,
): void {
  let isDone = false;
  const listener = accept({
    send: frames => {
      if (!isDone) call.write(frames);
    },
    close: () => {
      if (isDone) return;
      isDone = true;
      call.emit('error', {code: status.CANCELLED, details: 'Closed.'});
    },
  });
  const finish = (detail: string) => {
    if (isDone) return;
    isDone = true;
    listener.fail(detail);
  };
  call.on('data', (frames: readonly In[]) => {
    if (!isDone) listener.receive(frames);
  });
  call.on('error', failure => finish(failure.message));
  call.on('cancelled', () => finish('The peer has gone.'));
  call.on('end', () => {
    finish('The peer closed the stream.');
    call.end();
  });
}

function bind(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), cause => {
      if (cause === null) return resolve();
      reject(new AddressError(`Cannot listen on ${address}.`, {cause}));
    });
  });
}
