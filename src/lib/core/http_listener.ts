/** Listening sockets for HTTP, and what every HTTP front of ours has in common. */
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

/** What a listener needs. */
export interface HttpListenerOptions {
  readonly host: string;
  /** 0 lets the host choose. */
  readonly port: number;
  /** Longest time in milliseconds for a whole request to arrive. */
  readonly requestTimeoutMs: number;
  readonly handle: HandleRequest;
}

const HEADERS_TIMEOUT_MS = 5000;
const TIMEOUT_CHECK_PERIOD_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const HEADER_BYTES_AT_MOST = 16 * 1024;

/** An open listener. */
export interface HttpListener {
  readonly server: Server;
  readonly port: number;
  /** Stops accepting, lets responses in progress end, closes idle connections. */
  readonly close: () => Promise<void>;
}

/**
 * Opens a listening socket.
 *
 * @throws AddressError if the address is taken or not of this host.
 */
export async function openHttpListener(
  options: HttpListenerOptions,
): Promise<HttpListener> {
  const server = createServer(
    {
      requestTimeout: options.requestTimeoutMs,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      maxHeaderSize: HEADER_BYTES_AT_MOST,
      connectionsCheckingInterval: TIMEOUT_CHECK_PERIOD_MS,
      noDelay: true,
    },
    options.handle,
  );
  const closeQuietConnections = watchConnections(server);
  await listen(server, options);
  const address = server.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  return {
    server,
    port,
    close: () => closeServer(server, closeQuietConnections),
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
  closeQuietConnections: CloseIdleConnections,
): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    closeQuietConnections();
  });
}

/** How reading a request's body ended. */
export enum BodyOutcome {
  COMPLETE = 'whole',
  TOO_LARGE = 'too-large',
  ABORTED = 'broken',
}

/** A request's body, or why there is none. */
export interface RequestBody {
  readonly outcome: BodyOutcome;
  readonly bytes: Buffer;
}

const NO_BODY = Buffer.alloc(0);

const TOO_LARGE_BODY: RequestBody = {
  outcome: BodyOutcome.TOO_LARGE,
  bytes: NO_BODY,
};

/** Multiple of the limit up to which the rest of a body is read and dropped. */
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
      // Reading on lets the sender see the answer; closing on unread data
      // would reset the connection under it.
      if (length > bytesAtMost * DISCARD_FACTOR) resolve(TOO_LARGE_BODY);
    });
    request.on('end', () => {
      const isWhole = length <= bytesAtMost;
      const bytes = Buffer.concat(chunks);
      resolve(
        isWhole ? {outcome: BodyOutcome.COMPLETE, bytes} : TOO_LARGE_BODY,
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
