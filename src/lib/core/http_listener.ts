/** HTTP servers and the reading of request bodies, shared by all HTTP endpoints. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {watchConnections} from './connection_tracker.js';
import type {CloseIdleConnections} from './connection_tracker.js';
import {AddressError} from './errors.js';

/** Handles one request. */
export type HandleRequest = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Options of `openHttpListener`. */
export interface HttpListenerOptions {
  readonly host: string;
  /** Port to listen on; 0 selects a free port. */
  readonly port: number;
  /** Time limit in milliseconds for a complete request to arrive. */
  readonly requestTimeoutMs: number;
  readonly handle: HandleRequest;
}

const HEADERS_TIMEOUT_MS = 5000;
const TIMEOUT_CHECK_PERIOD_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const MAX_HEADER_BYTES = 16 * 1024;

/** A listening HTTP server. */
export interface HttpListener {
  readonly server: Server;
  readonly port: number;
  /** Stops accepting connections, closes idle ones and waits for responses. */
  readonly close: () => Promise<void>;
}

/**
 * Starts an HTTP server.
 *
 * @throws AddressError if the address is in use or not an address of this host.
 */
export async function openHttpListener(
  options: HttpListenerOptions,
): Promise<HttpListener> {
  const server = createServer(
    {
      requestTimeout: options.requestTimeoutMs,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_PERIOD_MS,
      noDelay: true,
    },
    options.handle,
  );
  const closeIdleConnections = watchConnections(server);
  await listen(server, options);
  const address = server.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  return {
    server,
    port,
    close: () => closeServer(server, closeIdleConnections),
  };
}

function listen(server: Server, options: HttpListenerOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    const {host, port} = options;
    server.once('error', cause => {
      const {code} = cause as NodeJS.ErrnoException;
      const text = `Cannot listen on ${host}:${port} (${code}).`;
      reject(new AddressError(text, {cause}));
    });
    server.listen(port, host, resolve);
  });
}

function closeServer(
  server: Server,
  closeIdleConnections: CloseIdleConnections,
): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    closeIdleConnections();
  });
}

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

/** Multiple of the limit up to which an oversized body is read and discarded. */
const DISCARD_FACTOR = 8;

/** Reads a request's body up to a limit in bytes. */
export function readBody(
  request: IncomingMessage,
  bytesAtMost: number,
): Promise<RequestBody> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= bytesAtMost) {
        chunks.push(chunk);
        return;
      }
      chunks.length = 0;
      // Reading on lets the client receive the answer; closing a socket with
      // unread data would reset the connection.
      if (length > bytesAtMost * DISCARD_FACTOR) resolve(TOO_LARGE_BODY);
    });
    request.on('end', () => {
      const isComplete = length <= bytesAtMost;
      const bytes = Buffer.concat(chunks);
      resolve(
        isComplete ? {outcome: BodyOutcome.COMPLETE, bytes} : TOO_LARGE_BODY,
      );
    });
    request.on('error', () =>
      resolve({outcome: BodyOutcome.ABORTED, bytes: NO_BODY}),
    );
    request.on('close', () =>
      resolve({outcome: BodyOutcome.ABORTED, bytes: NO_BODY}),
    );
  });
}
