/** Reads the bodies of HTTP requests. */
import type {IncomingMessage} from 'node:http';
import {LimitedConnection} from './limited_connection.js';

/** Result of reading a request's body. */
export enum BodyOutcome {
  COMPLETE = 'whole',
  TOO_LARGE = 'too-large',
  ABORTED = 'broken',
}

/** A request's body; `bytes` is empty unless it was read completely. */
export interface RequestBody {
  readonly outcome: BodyOutcome;
  readonly bytes: Buffer;
}

const NO_BODY = Buffer.alloc(0);

const TOO_LARGE_BODY: RequestBody = {
  outcome: BodyOutcome.TOO_LARGE,
  bytes: NO_BODY,
};

const ABORTED_BODY: RequestBody = {
  outcome: BodyOutcome.ABORTED,
  bytes: NO_BODY,
};

/** Multiple of the limit up to which an oversized body is read and discarded. */
const DISCARD_FACTOR = 8;

/** Smallest buffer in bytes: most jobs fit into it. */
const MIN_BUFFER_BYTES = 1024;

/**
 * Reads a request's body up to a limit in bytes. It is copied into one buffer,
 * so that what is reserved is what is held: a list of its chunks took over a
 * hundred bytes for each, also if it had only one byte.
 */
export function readBody(
  request: IncomingMessage,
  bytesAtMost: number,
): Promise<RequestBody> {
  const {socket} = request;
  const connection = LimitedConnection.find(socket);
  const limiter = connection?.limiter;
  let buffer: Buffer = NO_BODY;
  let length = 0;
  const releaseBuffer = () => {
    limiter?.returnBody(socket, buffer.length);
    buffer = NO_BODY;
  };
  // Returns whether there is room: reserving may cut the connection.
  const extendBuffer = () => {
    const capacity = Math.max(length, buffer.length * 2, MIN_BUFFER_BYTES);
    const bytes = Math.min(capacity, bytesAtMost);
    const growth = bytes - buffer.length;
    if (limiter?.reserveBody(socket, growth) === false) return false;
    const next = Buffer.allocUnsafeSlow(bytes);
    buffer.copy(next);
    buffer = next;
    return true;
  };
  return new Promise(resolve => {
    const finish = (body: RequestBody) => {
      releaseBuffer();
      resolve(body);
    };
    request.on('data', (chunk: Buffer) => {
      if (socket.destroyed) return;
      const offset = length;
      length += chunk.length;
      if (length > bytesAtMost) {
        releaseBuffer();
        // Reading on lets the client receive the answer; closing a socket with
        // unread data would reset the connection.
        if (length > bytesAtMost * DISCARD_FACTOR) resolve(TOO_LARGE_BODY);
        return;
      }
      if (length > buffer.length && !extendBuffer()) return;
      chunk.copy(buffer, offset);
    });
    request.on('end', () => {
      // A connection that was cut after its last byte hands nothing on.
      if (socket.destroyed) return finish(ABORTED_BODY);
      if (length > bytesAtMost) return finish(TOO_LARGE_BODY);
      const bytes = buffer.subarray(0, length);
      const complete = () => finish({outcome: BodyOutcome.COMPLETE, bytes});
      if (connection === undefined) complete();
      else connection.start(request, complete);
    });
    request.on('error', () => finish(ABORTED_BODY));
    request.on('close', () => {
      // A complete body may still wait for its turn.
      if (!request.complete) finish(ABORTED_BODY);
    });
  });
}
