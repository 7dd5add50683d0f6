/** An HTTP server on loopback, as the stand-ins share it. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {startTimer} from '../src/lib/core/clock.js';
import {AddressError} from '../src/lib/core/errors.js';

/** One request with its body read. */
export interface HttpExchange {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly response: ServerResponse;
}

/** The one address that stand-ins listen on. */
export const LOOPBACK_HOST = '127.0.0.1';

const KEEP_ALIVE_MS = 65_000;
const FLUSH_TIMEOUT_MS = 2000;
const MAX_BODY_BYTES = 16_777_216;

/** Listens on loopback and hands each whole request to `handle`. */
export class HttpListener {
  private constructor(
    private readonly server: Server,
    private readonly openResponses: ReadonlySet<ServerResponse>,
  ) {}

  /** Creates a listener that is listening; port 0 takes a free port. */
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

  /** Port on which it listens. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** `http://host:port` of the listener. */
  get origin(): string {
    return `http://${LOOPBACK_HOST}:${this.port}`;
  }

  /** Closes the kept-alive connections on which no request is in progress. */
  closeIdleConnections(): void {
    this.server.closeIdleConnections();
  }

  /** Stops listening, sends out the answers given and cuts what is left. */
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

/** Answers with a JSON body. */
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

/** Cuts the connection on which a request came in. */
export function cutConnection(response: ServerResponse): void {
  response.socket?.destroy();
}

/** Parses a JSON object; undefined if the text is not one. */
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
    // Decoding here once spares every codec a check of the escapes.
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
