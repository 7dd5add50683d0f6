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
import {LineSender} from './line_sender.js';
import {LineServerStreams} from './line_server_streams.js';
import type {HeldStream} from './line_server_streams.js';
import {LineSplitter} from './line_splitter.js';
import {computeStreamLimits, StreamCut} from './stream_limits.js';
import type {StreamLimits} from './stream_limits.js';

/** Limits of a server's streams, and what it is told of them. */
export interface LineServerOptions<In> {
  readonly limits?: StreamLimits;
  /** Tells whether a frame is a hello; without it, streams need none. */
  readonly isHello?: (frame: In) => boolean;
  /** Called with each stream that is closed for a limit. */
  readonly reportCut?: (reason: StreamCut) => void;
}

/** What one stream takes from its server. */
interface StreamOptions<In> extends LineServerOptions<In> {
  readonly limits: StreamLimits;
  readonly streams?: LineServerStreams;
}

/** Why a stream cannot go on. */
interface StreamProblem {
  readonly reason: StreamCut;
  readonly detail: string;
}

/** Opens a stream over a new TCP connection to `host:port`. */
export function openLineStream<Out, In>(
  address: string,
  listener: FrameListener<In>,
): FrameStream<Out> {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port), noDelay: true});
  return bindSocket(socket, () => listener, {limits: computeStreamLimits()});
}

/**
 * Accepts streams on `host:port`.
 *
 * @throws AddressError if the address cannot be listened on.
 */
export async function openLineServer<Out, In>(
  address: string,
  accept: AcceptFrameStream<Out, In>,
  options: LineServerOptions<In> = {},
): Promise<FrameServer> {
  const sockets = new Set<Socket>();
  const limits = options.limits ?? computeStreamLimits();
  const streams = LineServerStreams.create(limits);
  const server = createServer({noDelay: true}, socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    bindSocket(socket, accept, {...options, limits, streams});
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
  options: StreamOptions<In>,
): FrameStream<Out> {
  const {limits, streams, isHello, reportCut} = options;
  const sender = LineSender.create<Out>(socket);
  const splitter = LineSplitter.create(limits.lineCharacters);
  let isClosed = false;
  let isGreeted = isHello === undefined;
  const stream: FrameStream<Out> = {
    send: frames => {
      if (isClosed) return;
      sender.send(frames);
      if (sender.backlog > limits.waitingFrames) {
        held.cut(StreamCut.NOT_READ, 'The peer does not read what it is sent.');
      } else if (sender.backlog > 0) streams?.checkBacklog();
    },
    close: () => {
      isClosed = true;
      streams?.remove(held);
      sender.clear();
      splitter.clear();
      socket.destroy();
    },
  };
  const finish = (detail: string) => {
    if (isClosed) return;
    stream.close();
    listener.fail(detail);
  };
  const held: HeldStream = {
    get unfinished() {
      return splitter.unfinished;
    },
    get backlog() {
      return sender.backlog;
    },
    cut: (reason, detail) => {
      if (!isClosed) reportCut?.(reason);
      finish(detail);
    },
  };
  const receive = (frames: readonly In[]) => {
    if (!isGreeted && isHello !== undefined && frames.some(isHello)) {
      isGreeted = true;
      streams?.markGreeted(held);
    }
    if (isGreeted && !isClosed) listener.receive(frames);
  };
  const listener = accept(stream);
  if (!isGreeted) streams?.add(held);
  socket.setEncoding('utf8');
  socket.on('data', (text: string) => {
    if (isClosed) return;
    const frames: In[] = [];
    const problem = readFrames(splitter, text, frames);
    // All frames of a chunk in one call: a line of a few bytes costs no message.
    if (frames.length > 0) receive(frames);
    if (problem !== undefined) held.cut(problem.reason, problem.detail);
    else if (splitter.unfinished > 0) streams?.checkUnfinished();
  });
  socket.on('error', failure => finish(failure.message));
  socket.on('close', () => finish('The peer closed the stream.'));
  return stream;
}

/** Adds the frames of the lines that a text completes; returns why it stopped before the end. */
function readFrames<In>(
  splitter: LineSplitter,
  text: string,
  frames: In[],
): StreamProblem | undefined {
  try {
    for (const line of splitter.split(text)) {
      const message: unknown = JSON.parse(line);
      if (!isFrameList(message)) {
        return createProblem(StreamCut.MALFORMED, 'it is no list of frames');
      }
      for (const frame of message) frames.push(frame as In);
    }
    return undefined;
  } catch (failure) {
    const isLong = failure instanceof RequestError;
    const reason = isLong ? StreamCut.LONG_LINE : StreamCut.MALFORMED;
    return createProblem(reason, String(failure));
  }
}

function createProblem(reason: StreamCut, cause: string): StreamProblem {
  const detail = `A message from the peer cannot be read: ${cause}.`;
  return {reason, detail};
}

function isFrameList(message: unknown): message is readonly unknown[] {
  return Array.isArray(message) && !message.includes(null);
}
