/** HTTP codec for the calls and answers of the store stand-in. */
import {StoreAnswerKind, StoreCallKind} from './store_call.js';
import type {StoreAnswer, StoreCall} from './store_call.js';
import {parseObject} from './http_listener.js';
import type {HttpExchange} from './http_listener.js';

/** HTTP status and JSON body of an answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}

const VALUES_PATH = '/v1/values';
const WATCH_PATH = '/v1/watch';
const LEASES_PATH = '/v1/leases';
const MAX_WAIT_MS = 60_000;

/** Decodes a request; returns undefined if it is not a valid call. */
export function decodeCall(exchange: HttpExchange): StoreCall | undefined {
  const path = exchange.url.pathname;
  if (path === VALUES_PATH) return decodeList(exchange);
  if (path === WATCH_PATH) return decodeWatch(exchange);
  if (path.startsWith(`${VALUES_PATH}/`)) {
    return decodeValueCall(exchange, decodeLastSegment(path, VALUES_PATH));
  }
  if (path === LEASES_PATH) return decodeOpenLease(exchange);
  if (path.startsWith(`${LEASES_PATH}/`)) {
    return decodeLeaseCall(
      exchange.method,
      decodeLastSegment(path, LEASES_PATH),
    );
  }
  return undefined;
}

/** Encodes an answer as an HTTP status and body. */
export function encodeAnswer(answer: StoreAnswer): HttpAnswer {
  switch (answer.kind) {
    case StoreAnswerKind.SNAPSHOT:
      return {
        status: 200,
        body: {revision: answer.revision, values: answer.values},
      };
    case StoreAnswerKind.CHANGES:
      return {
        status: 200,
        body: {
          revision: answer.revision,
          changes: answer.changes,
          isCompacted: answer.isCompacted,
        },
      };
    case StoreAnswerKind.WRITTEN:
      return {status: 200, body: {revision: answer.revision}};
    case StoreAnswerKind.LEASE_OPENED:
      return {status: 200, body: {lease: answer.lease}};
    case StoreAnswerKind.LEASE_RENEWED:
    case StoreAnswerKind.LEASE_CLOSED:
      return {status: 200, body: {}};
    case StoreAnswerKind.CONFLICT:
    case StoreAnswerKind.LEASE_ENDED:
      return {
        status: 409,
        body: {revision: answer.revision, reason: answer.kind},
      };
    case StoreAnswerKind.TOO_LARGE:
      return {status: 413, body: {reason: answer.kind}};
    case StoreAnswerKind.RATE_LIMITED:
      return {status: 429, body: {reason: answer.kind}};
  }
}

function decodeLastSegment(path: string, base: string): string {
  return decodeURIComponent(path.slice(base.length + 1));
}

/** Parses a non-negative integer; returns undefined for any other text. */
function readCount(text: string | null): number | undefined {
  if (text === null || !/^\d+$/.test(text)) return undefined;
  return Number(text);
}

function decodeList({method, url}: HttpExchange): StoreCall | undefined {
  if (method !== 'GET') return undefined;
  const prefix = url.searchParams.get('prefix') ?? '';
  return {kind: StoreCallKind.LIST, prefix};
}

function decodeWatch({method, url}: HttpExchange): StoreCall | undefined {
  const afterRevision = readCount(url.searchParams.get('after'));
  const waitMs = readCount(url.searchParams.get('waitMs') ?? '0');
  if (method !== 'GET' || afterRevision === undefined) return undefined;
  if (waitMs === undefined) return undefined;
  return {
    kind: StoreCallKind.WATCH,
    prefix: url.searchParams.get('prefix') ?? '',
    afterRevision,
    waitMs: Math.min(waitMs, MAX_WAIT_MS),
  };
}

function decodeValueCall(
  {method, url, body}: HttpExchange,
  key: string,
): StoreCall | undefined {
  const expectedRevision = readCount(url.searchParams.get('expected'));
  if (expectedRevision === undefined) return undefined;
  if (method === 'DELETE') {
    return {kind: StoreCallKind.REMOVE, key, expectedRevision};
  }
  if (method !== 'PUT') return undefined;
  const lease = url.searchParams.get('lease') ?? undefined;
  return {
    kind: StoreCallKind.WRITE,
    key,
    value: body,
    expectedRevision,
    lease,
  };
}

function decodeOpenLease({method, body}: HttpExchange): StoreCall | undefined {
  const timeToLiveMs = parseObject(body)?.timeToLiveMs;
  if (method !== 'POST' || typeof timeToLiveMs !== 'number') return undefined;
  if (!(timeToLiveMs > 0)) return undefined;
  return {kind: StoreCallKind.OPEN_LEASE, timeToLiveMs};
}

function decodeLeaseCall(method: string, lease: string): StoreCall | undefined {
  if (method === 'PUT') return {kind: StoreCallKind.RENEW_LEASE, lease};
  if (method === 'DELETE') return {kind: StoreCallKind.CLOSE_LEASE, lease};
  return undefined;
}
