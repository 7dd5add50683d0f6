/** The HTTP listener of an entry for callers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ConnectionLimiter} from '../core/connection_limiter.js';
import {openHttpListener} from '../core/http_listener.js';
import type {HttpListener} from '../core/http_listener.js';
import {BodyOutcome, readBody} from '../core/read_body.js';
import {Outcome, Problem} from '../core/job.js';
import {encodeJson, encodeProblem} from './answer_encoding.js';
import type {EncodedAnswer} from './answer_encoding.js';
import {RequestKind, RequestOrigin} from './request_router.js';
import type {CallerRequest, RequestRouter} from './request_router.js';

const REQUEST_TIMEOUT_MS = 30_000;
const JOB_PATH = /^\/v1\/jobs\/([^/?]+)$/;
const TRACE_PATTERN = /^[\x20-\x7e]{1,512}$/;

/** Options of the listener for callers. */
export interface CallerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly router: RequestRouter;
  /** Whether the load balancer should send requests here. */
  readonly isReady: () => boolean;
  /** What callers may hold; follows from the heap if not given. */
  readonly limits?: ConnectionLimiter;
}

/** An open listener for callers. */
export interface CallerListener extends HttpListener {
  /** Returns the number of requests that have not been answered. */
  readonly countOpen: () => number;
  /** From now on sends `connection: close` with every answer. */
  readonly leave: () => void;
}

/** Opens the listener; rejects if the address cannot be listened on. */
export async function openCallerListener(
  options: CallerListenerOptions,
): Promise<CallerListener> {
  let openCount = 0;
  let isLeaving = false;
  const listener = await openHttpListener({
    host: options.host,
    port: options.port,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    limits: options.limits,
    handle: (request, response) => {
      openCount += 1;
      response.once('close', () => (openCount -= 1));
      if (isLeaving) response.setHeader('connection', 'close');
      void handleRequest(options, request, response);
    },
  });
  return {
    ...listener,
    countOpen: () => openCount,
    // Idle connections stay open until the drain has ended: a request may be
    // in flight on any of them.
    leave: () => (isLeaving = true),
  };
}

async function handleRequest(
  options: CallerListenerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const answer = (encoded: EncodedAnswer) =>
    sendAnswer(request, response, encoded);
  const {method = '', url = ''} = request;
  const path = url.split('?', 1)[0];
  if (path === '/healthz') return answer(encodeJson(200, {state: 'alive'}));
  if (path === '/readyz') {
    const isReady = options.isReady();
    return answer(encodeJson(isReady ? 200 : 503, {isReady}));
  }
  const kind = findKind(method, path);
  if (kind === undefined && !(method === 'POST' && path === '/v1/sessions')) {
    return answer(describeUnknownPath(method, path));
  }
  const body = await readBody(request, options.maxBodyBytes);
  if (body.outcome === BodyOutcome.ABORTED) return;
  if (body.outcome === BodyOutcome.TOO_LARGE) {
    response.setHeader('connection', 'close');
    return answer(describeLargeBody(options.maxBodyBytes));
  }
  if (kind === undefined) return options.router.openSession(body.bytes, answer);
  const callerRequest = readRequest(request, kind, path, body.bytes);
  options.router.handle(callerRequest, RequestOrigin.CALLER, answer);
}

function findKind(method: string, path: string): RequestKind | undefined {
  if (method === 'POST' && path === '/v1/jobs') return RequestKind.SUBMIT;
  if (!JOB_PATH.test(path)) return undefined;
  if (method === 'GET') return RequestKind.LOOK_UP;
  if (method === 'DELETE') return RequestKind.CANCEL;
  return undefined;
}

function readRequest(
  request: IncomingMessage,
  kind: RequestKind,
  path: string,
  body: Buffer,
): CallerRequest {
  const {headers} = request;
  const isSubmission = kind === RequestKind.SUBMIT;
  const key = isSubmission
    ? headers['idempotency-key']?.toString()
    : decodeKey(JOB_PATH.exec(path)![1]);
  const trace = headers.traceparent?.toString() ?? '';
  const prefer = headers.prefer?.toString() ?? '';
  return {
    kind,
    key: key === undefined ? undefined : removeQuotes(key),
    body,
    trace: TRACE_PATTERN.test(trace) ? trace : '',
    isDetached: prefer.includes('respond-async'),
  };
}

function decodeKey(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}

// In the draft standard of Idempotency-Key the value is a structured string,
// which is in double quotes.
function removeQuotes(key: string): string {
  return /^".*"$/.test(key) ? key.slice(1, -1) : key;
}

function describeUnknownPath(method: string, path: string): EncodedAnswer {
  return encodeProblem({
    problem: Problem.NOT_FOUND,
    outcome: Outcome.DID_NOT_RUN,
    detail: `There is no ${method} ${path}; see docs/API.md.`,
  });
}

function describeLargeBody(maxBytes: number): EncodedAnswer {
  return encodeProblem({
    problem: Problem.BODY_TOO_LARGE,
    outcome: Outcome.DID_NOT_RUN,
    detail: `The body is over ${maxBytes} bytes.`,
  });
}

// Content-Length is set and the body is written in one piece, so that a caller
// can always detect a truncated answer.
function sendAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  encoded: EncodedAnswer,
): void {
  if (response.writableEnded || response.destroyed) return;
  const headers: Record<string, string | number> = {
    'content-type': encoded.contentType,
    'content-length': encoded.body.length,
  };
  if (encoded.retryAfterMs > 0) {
    headers['retry-after'] = Math.ceil(encoded.retryAfterMs / 1000);
  }
  if (encoded.status === 202) {
    const key = request.headers['idempotency-key']?.toString() ?? '';
    headers.location = `/v1/jobs/${encodeURIComponent(removeQuotes(key))}`;
  }
  response.writeHead(encoded.status, headers).end(encoded.body);
}
