/** One keep-alive HTTP/1.1 connection of a client. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {RequestError} from './errors.js';
import {HttpResponseParser} from './http_response_parser.js';
import type {HttpResponse} from './http_response_parser.js';
import {SendOutcome} from './send_once.js';
import type {OutgoingRequest, SendResult} from './send_once.js';

/** A request and the function that is called once with its result. */
export interface HttpExchange {
  readonly request: OutgoingRequest;
  readonly end: (result: SendResult) => void;
}

/** Options of a connection. */
export interface HttpConnectionOptions {
  readonly host: string;
  readonly port: number;
  /** Time in milliseconds after which an idle connection is closed. */
  readonly idleMs: number;
  /** Receives the bytes read; connections of one thread may share it. */
  readonly readBuffer: Buffer;
  /** Called when the connection can carry another request. */
  readonly reportIdle: (connection: HttpConnection) => void;
  /** Called once when the connection has closed. */
  readonly reportClosed: (connection: HttpConnection) => void;
}

const FORBIDDEN_IN_PATH = /[^\x21-\x7e]/;
/** Control characters, some of which would end a header. */
const FORBIDDEN_IN_HEADER = /[\x00-\x08\x0a-\x1f\x7f]/;

/**
 * Finds what makes a request impossible to write: characters that would end its
 * first line or a header early.
 */
export function findRequestFault({
  path,
  headers = {},
}: OutgoingRequest): Error | undefined {
  if (FORBIDDEN_IN_PATH.test(path)) {
    return new RequestError(`"${path}" is not the path of a request.`);
  }
  for (const name in headers) {
    const value = headers[name];
    if (!FORBIDDEN_IN_HEADER.test(value)) continue;
    return new RequestError(`The header ${name} has a control character.`);
  }
  return undefined;
}

/** Phase of a connection. */
enum ConnectionPhase {
  /** Its first request waits for it; no byte has been sent. */
  CONNECTING = 'connecting',
  IDLE = 'idle',
  /** A request has been written and its response is not complete. */
  BUSY = 'busy',
  CLOSED = 'closed',
}

/**
 * Owns one socket and carries one request at a time, each at most once.
 *
 * It reads without a stream in between: at the rates of an agent, where each
 * request finds the caches cold, Node's own client takes twice the time.
 */
export class HttpConnection {
  private readonly socket: Socket;
  private readonly host: string;
  private phase = ConnectionPhase.CONNECTING;
  private parser = HttpResponseParser.create();
  private failure: unknown;

  private constructor(
    private readonly options: HttpConnectionOptions,
    private exchange: HttpExchange | undefined,
  ) {
    const {host, port, idleMs, readBuffer} = options;
    this.host = `${host}:${port}`;
    this.socket = connect({
      host,
      port,
      noDelay: true,
      onread: {
        buffer: readBuffer,
        callback: (length, buffer) => {
          this.receive((buffer as Buffer).subarray(0, length));
          return true;
        },
      },
    });
    this.socket.setTimeout(idleMs, () => {
      if (this.phase === ConnectionPhase.IDLE) this.close();
    });
    this.socket.on('connect', () => {
      if (this.exchange !== undefined) this.write(this.exchange.request);
    });
    this.socket.on('error', failure => (this.failure = failure));
    this.socket.on('end', () => this.handleEnd());
    this.socket.on('close', () => this.finish(this.failure));
  }

  /** Connects, and sends a request once connected. */
  static create(
    options: HttpConnectionOptions,
    exchange: HttpExchange,
  ): HttpConnection {
    return new HttpConnection(options, exchange);
  }

  /** Sends a request on an idle connection. */
  send(exchange: HttpExchange): void {
    this.exchange = exchange;
    this.write(exchange.request);
  }

  /** Closes the connection; a request in progress ends without a reply. */
  close(): void {
    this.fail(undefined);
  }

  private write({
    method,
    path,
    headers = {},
    body = '',
  }: OutgoingRequest): void {
    this.phase = ConnectionPhase.BUSY;
    let head = `${method} ${path} HTTP/1.1\r\nhost: ${this.host}\r\n`;
    for (const name in headers) head += `${name}: ${headers[name]}\r\n`;
    if (body.length > 0 && headers['content-length'] === undefined) {
      head += `content-length: ${Buffer.byteLength(body)}\r\n`;
    }
    if (typeof body === 'string') {
      this.socket.write(`${head}\r\n${body}`);
      return;
    }
    this.socket.cork();
    this.socket.write(`${head}\r\n`);
    this.socket.write(body);
    this.socket.uncork();
  }

  private receive(part: Buffer): void {
    if (this.phase !== ConnectionPhase.BUSY) {
      // Bytes that answer no request: the next response could not be told apart.
      this.close();
      return;
    }
    let response: HttpResponse | undefined;
    try {
      response = this.parser.add(part);
    } catch (failure) {
      this.fail(failure);
      return;
    }
    if (response !== undefined) this.deliver(response);
  }

  private handleEnd(): void {
    const response =
      this.phase === ConnectionPhase.BUSY ? this.parser.end() : undefined;
    if (response !== undefined) this.deliver(response);
    else this.fail(new RequestError('The peer closed the connection.'));
  }

  private fail(cause: unknown): void {
    this.finish(cause);
    this.socket.destroy();
  }

  private deliver({status, headers, body, isReusable}: HttpResponse): void {
    const {exchange} = this;
    this.exchange = undefined;
    if (isReusable) {
      this.phase = ConnectionPhase.IDLE;
      this.parser = HttpResponseParser.create();
      this.options.reportIdle(this);
    } else {
      this.close();
    }
    exchange?.end({outcome: SendOutcome.REPLIED, status, headers, body});
  }

  private finish(cause: unknown): void {
    if (this.phase === ConnectionPhase.CLOSED) return;
    const outcome =
      this.phase === ConnectionPhase.CONNECTING
        ? SendOutcome.NOT_SENT
        : SendOutcome.UNANSWERED;
    this.phase = ConnectionPhase.CLOSED;
    this.options.reportClosed(this);
    this.exchange?.end({outcome, cause});
    this.exchange = undefined;
  }
}
