/** HTTP client of the commands. Each request is sent at most once. */
import {Agent, request as requestOnce} from 'undici';
import {ReplyKind} from './http_exchange.js';
import type {HttpReply, HttpRequest, SendRequest} from './http_exchange.js';

const CONNECT_TIMEOUT_MS = 3000;

/** Error codes of failures before a connection is established. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'ENOTFOUND',
  'EAI_AGAIN',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'ERR_INVALID_URL',
  'UND_ERR_INVALID_ARG',
]);

/** Sends requests until it is closed. */
export interface HttpClient {
  readonly send: SendRequest;
  readonly close: () => Promise<void>;
}

/**
 * Creates a client. Each request uses its own connection, so that none is sent
 * on a stale keep-alive connection, and no retry handler is installed.
 */
export function createHttpClient(): HttpClient {
  const dispatcher = new Agent({
    pipelining: 0,
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });
  return {
    send: request => sendOnce(dispatcher, request),
    close: () => dispatcher.close(),
  };
}

async function sendOnce(
  dispatcher: Agent,
  request: HttpRequest,
): Promise<HttpReply> {
  const {url, method, timeoutMs} = request;
  try {
    const response = await requestOnce(url, {
      dispatcher,
      method,
      reset: true,
      headers: {
        accept: 'application/json, application/problem+json',
        ...(request.body === undefined
          ? {}
          : {'content-type': 'application/json'}),
        ...request.headers,
      },
      body: request.body === undefined ? null : JSON.stringify(request.body),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await response.body.text();
    const headers = convertHeaders(response.headers);
    return parseResponse(url, response.statusCode, headers, text);
  } catch (failure) {
    return describeFailure(url, failure);
  }
}

function parseResponse(
  url: string,
  status: number,
  headers: Readonly<Record<string, string>>,
  text: string,
): HttpReply {
  if (!/json/.test(headers['content-type'] ?? '')) {
    return {kind: ReplyKind.ANSWERED, status, headers, document: text};
  }
  try {
    const document: unknown = JSON.parse(text);
    return {kind: ReplyKind.ANSWERED, status, headers, document};
  } catch {
    return {kind: ReplyKind.LOST, url, reason: 'the answer is cut off'};
  }
}

function describeFailure(url: string, failure: unknown): HttpReply {
  const {code, name, message} = failure as NodeJS.ErrnoException;
  const reason = message || code || name;
  const isUnsent = isProvenUnsent(failure as NodeJS.ErrnoException);
  return {kind: isUnsent ? ReplyKind.NOT_SENT : ReplyKind.LOST, url, reason};
}

/**
 * Tells whether a failure proves that no byte of the request was sent. The code
 * alone is not enough: the system also reports an unreachable host on reads and
 * writes of an established connection.
 */
export function isProvenUnsent(
  failure: Pick<NodeJS.ErrnoException, 'code' | 'syscall'>,
): boolean {
  const {code = '', syscall} = failure;
  const isConnected = syscall === 'read' || syscall === 'write';
  return !isConnected && NOT_SENT_CODES.has(code);
}

function convertHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, String(value)]),
  );
}
