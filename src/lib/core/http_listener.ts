/** HTTP servers with limits on their clients, shared by all HTTP endpoints. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {getHeapStatistics} from 'node:v8';
import {computeClientLimits} from '../decisions/client_limits.js';
import {readMonotonicMs, startTimer} from './clock.js';
import {ConnectionLimiter} from './connection_limiter.js';
import {watchConnections} from './connection_tracker.js';
import type {CloseIdleConnections} from './connection_tracker.js';
import {AddressError} from './errors.js';
import {LimitedConnection} from './limited_connection.js';
import {createMessageClasses} from './limited_messages.js';

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
  /** What its clients may hold; shared by listeners that have one budget. */
  readonly limits?: ConnectionLimiter;
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
  const limits = options.limits ?? createDefaultLimits();
  const server = createServer(
    {
      ...createMessageClasses(limits),
      requestTimeout: options.requestTimeoutMs,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_PERIOD_MS,
      noDelay: true,
    },
    (request, response) => {
      // The connection may have been cut because of this request.
      if (request.socket.destroyed) return;
      const handle = () => options.handle(request, response);
      const connection = LimitedConnection.find(request.socket);
      // A body is read at once, and waits for its turn when it is complete.
      if (connection === undefined || hasBody(request)) handle();
      else connection.start(request, handle);
    },
  );
  limits.watch(server);
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

function hasBody({headers}: IncomingMessage): boolean {
  const {'content-length': length, 'transfer-encoding': encoding} = headers;
  return encoding !== undefined || (length !== undefined && length !== '0');
}

/** Creates limits that follow from the heap of the process. */
function createDefaultLimits(): ConnectionLimiter {
  return ConnectionLimiter.create({
    ...computeClientLimits({
      memoryMb: undefined,
      descriptorsAtMost: undefined,
      heapBytes: getHeapStatistics().heap_size_limit,
    }),
    readMonotonicMs,
    startTimer,
    reportCut: () => undefined,
  });
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
