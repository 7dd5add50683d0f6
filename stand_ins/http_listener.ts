/** HTTP listener on the loopback address, shared by the stand-ins. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {startTimer} from '../src/lib/core/clock.js';
import {AddressError} from '../src/lib/core/errors.js';

/** A request with its body, and the response to write. */
export interface HttpExchange {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly response: ServerResponse;
}

/** Address that every stand-in listens on. */
export const LOOPBACK_HOST = '127.0.0.1';

const KEEP_ALIVE_MS = 65_000;
const FLUSH_TIMEOUT_MS = 2000;
const MAX_BODY_BYTES = 16_777_216;

/**
 * Listens on loopback and passes each request to `handle` once its body is
 * complete.
 */
export class HttpListener {
  private constructor(
    private readonly server: Server,
    private readonly openResponses: ReadonlySet<ServerResponse>,
  ) {}

  /**
   * Opens a listener; port 0 selects a free one. Rejects with `AddressError` if
   * it cannot listen.
   */
  static async create(
    port: number,
    handle: (exchange: HttpExchange) => void,
  ): Promise<HttpListener> {
    const openResponses = new Set<ServerResponse>();
    const server = createServer((request, response) => {
      openResponses.add(response);
      response.once('close', () => openResponses.delete(response));
      collectBody(request, body => {
        const url = parseRequestTarget(request.url);
        if (url === undefined) sendJson(response, 400, {});
        else {
          const {method = '', headers} = request;
          handle({method, url, headers, body, response});
        }
      });
    });
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.requestTimeout = 0;
    await new Promise<void>((resolve, reject) => {
      server.once('error', cause =>
        reject(new AddressError(`Cannot listen on port ${port}.`, {cause})),
      );
      server.listen(port, LOOPBACK_HOST, resolve);
    });
    return new HttpListener(server, openResponses);
  }

  /** Port that the listener is bound to. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** `http://host:port` of the listener. */
  get origin(): string {
    return `http://${LOOPBACK_HOST}:${this.port}`;
  }

  /** Closes keep-alive connections that have no request in progress. */
  closeIdleConnections(): void {
    this.server.closeIdleConnections();
  }

  /**
   * Stops listening, flushes responses that have ended and closes all other
   * connections.
   */
  async close(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    const answered = [...this.openResponses].filter(
      response => response.writableEnded,
    );
    await Promise.all(answered.map(waitForFlush));
    this.server.closeAllConnections();
    await closed;
  }
}

/** Sends a JSON response; does nothing if the connection is already closed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.destroyed) return;
  response.writeHead(status, {'content-type': 'application/json', ...headers});
  response.end(JSON.stringify(body));
}

/** Closes the connection of a request without a response. */
export function cutConnection(response: ServerResponse): void {
  response.socket?.destroy();
}

/** Parses a JSON object; returns undefined for any other text. */
export function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === 'object' && value !== null;
    return isObject ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}

function waitForFlush(response: ServerResponse): Promise<void> {
  if (response.writableFinished) return Promise.resolve();
  return new Promise(resolve => {
    const stopTimer = startTimer(FLUSH_TIMEOUT_MS, resolve);
    for (const event of ['finish', 'close']) {
      response.once(event, () => {
        stopTimer();
        resolve();
      });
    }
  });
}

function parseRequestTarget(target = '/'): URL | undefined {
  try {
    // Rejects malformed percent-encoding here, so that no codec has to check
    // for it.
    decodeURIComponent(target);
    return new URL(target, 'http://stand-in');
  } catch {
    return undefined;
  }
}

function collectBody(
  request: IncomingMessage,
  done: (body: string) => void,
): void {
  const parts: Buffer[] = [];
  let bytes = 0;
  request.on('data', (part: Buffer) => {
    bytes += part.length;
    if (bytes > MAX_BODY_BYTES) request.destroy();
    else parts.push(part);
  });
  request.on('error', () => undefined);
  request.on('end', () => done(Buffer.concat(parts).toString('utf8')));
}
