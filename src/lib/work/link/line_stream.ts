/**
 * Streams of frames as lines of JSON over TCP.
 *
 * A message costs a third of the processor time that it costs over gRPC, and a
 * process starts without loading that library; both matter on 0.4 of a core.
 */
import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {AddressError, RequestError} from '../../core/errors.js';
import type {
  AcceptFrameStream,
  FrameListener,
  FrameServer,
  FrameStream,
} from './frame_stream.js';

/** Maximum length of a line; the longest message is a complete configuration. */
const MAX_LINE_CHARACTERS = 8 * 1024 * 1024;

/** Opens a stream over a new TCP connection to `host:port`. */
export function openLineStream<Out, In>(
  address: string,
  listener: FrameListener<In>,
): FrameStream<Out> {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port), noDelay: true});
  return bindSocket(socket, () => listener);
}

/**
 * Accepts streams on `host:port`.
 *
 * @throws AddressError if the address cannot be listened on.
 */
export async function openLineServer<Out, In>(
  address: string,
  accept: AcceptFrameStream<Out, In>,
): Promise<FrameServer> {
  const sockets = new Set<Socket>();
  const server = createServer({noDelay: true}, socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    bindSocket(socket, accept);
  });
  const [host, port] = address.split(':');
  await new Promise<void>((resolve, reject) => {
    server.once('error', cause =>
      reject(new AddressError(`Cannot listen on ${address}.`, {cause})),
    );
    server.listen(Number(port), host, resolve);
  });
  return {
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

function bindSocket<Out, In>(
  socket: Socket,
  accept: AcceptFrameStream<Out, In>,
): FrameStream<Out> {
  let isClosed = false;
  const stream: FrameStream<Out> = {
    send: frames => {
      if (!isClosed) socket.write(`${JSON.stringify(frames)}\n`);
    },
    close: () => {
      isClosed = true;
      socket.destroy();
    },
  };
  const listener = accept(stream);
  const finish = (detail: string) => {
    if (isClosed) return;
    stream.close();
    listener.fail(detail);
  };
  const splitLines = createLineSplitter(line => {
    if (!isClosed) listener.receive(JSON.parse(line) as In[]);
  });
  socket.setEncoding('utf8');
  socket.on('data', (text: string) => {
    try {
      splitLines(text);
    } catch (failure) {
      finish(`A message from the peer cannot be read: ${String(failure)}.`);
    }
  });
  socket.on('error', failure => finish(failure.message));
  socket.on('close', () => finish('The peer closed the stream.'));
  return stream;
}

/**
 * Returns a function that accepts chunks of text and passes on complete lines.
 *
 * @throws RequestError from that function if an incomplete line exceeds the
 *     maximum length.
 */
export function createLineSplitter(
  handleLine: (line: string) => void,
): (text: string) => void {
  let remainder = '';
  return text => {
    const lines = (remainder + text).split('\n');
    remainder = lines.pop() ?? '';
    if (remainder.length > MAX_LINE_CHARACTERS) {
      throw new RequestError(
        `A message is longer than ${MAX_LINE_CHARACTERS} characters.`,
      );
    }
    for (const line of lines) handleLine(line);
  };
}
