/** Decodes replies of the platform's store and maps failures to error codes. */
import {ErrorCode, StoreError} from '../core/errors.js';
import {StoreChangeKind} from './platform_store.js';
import type {
  StoreChange,
  StoreChanges,
  StoreSnapshot,
  StoredValue,
} from './platform_store.js';
import {SendOutcome} from '../core/send_once.js';
import type {SendResult} from '../core/send_once.js';

/** Whether a call can change the store, which decides the error of a lost reply. */
export enum CallEffect {
  /** The call changes nothing: a lost reply means that the store is unavailable. */
  READS = 'reads',
  /** The call may have taken effect although its reply was lost. */
  WRITES = 'writes',
}

const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY_REQUESTS = 429;
const MIN_SERVER_ERROR_STATUS = 500;

/** Decodes the result of a call from the JSON body of its reply. */
export type DecodeBody<T> = (body: unknown) => T;

/**
 * Returns the decoded result of a successful call.
 *
 * @throws StoreError with the code that corresponds to the failure.
 */
export function readReply<T>(
  call: string,
  effect: CallEffect,
  result: SendResult,
  decode: DecodeBody<T>,
): T {
  if (result.outcome === SendOutcome.NOT_SENT) {
    throw createError(ErrorCode.STORE_UNAVAILABLE, call, 'was not sent', {
      cause: result.cause,
    });
  }
  if (result.outcome === SendOutcome.UNANSWERED) {
    throw createLostError(call, effect, 'got no reply', result.cause);
  }
  const {status} = result;
  const body = result.body.toString('utf8');
  if (status >= 200 && status < 300) {
    return parseBody(call, effect, body, decode);
  }
  throw createStatusError(call, effect, status, body);
}

/** Decodes the reply to a list call. */
export function readSnapshot(body: unknown): StoreSnapshot {
  const {revision, values} = readObject(body);
  return {
    revision: readRevision(revision),
    values: readList(values).map(readValue),
  };
}

/** Decodes the reply to a watch call. */
export function readChanges(body: unknown): StoreChanges {
  const {revision, changes, isCompacted} = readObject(body);
  return {
    revision: readRevision(revision),
    changes: readList(changes).map(readChange),
    isCompacted: isCompacted === true,
  };
}

/** Decodes the revision of a write. */
export function readWrittenRevision(body: unknown): number {
  return readRevision(readObject(body).revision);
}

/** Decodes the id of an opened lease. */
export function readLease(body: unknown): string {
  return readString(readObject(body).lease);
}

/** Ignores the body of a reply that has no result. */
export function readNothing(): void {}

function readValue(body: unknown): StoredValue {
  const {key, value, revision} = readObject(body);
  return {
    key: readString(key),
    value: readString(value),
    revision: readRevision(revision),
  };
}

function readChange(body: unknown): StoreChange {
  const {kind} = readObject(body);
  const known = Object.values(StoreChangeKind).find(name => name === kind);
  if (known === undefined) throw createProtocolError('a kind of change');
  return {kind: known, ...readValue(body)};
}

function readObject(body: unknown): Record<string, unknown> {
  const isObject = typeof body === 'object' && body !== null;
  if (!isObject) throw createProtocolError('an object');
  return body as Record<string, unknown>;
}

function readList(body: unknown): unknown[] {
  if (!Array.isArray(body)) throw createProtocolError('a list');
  return body;
}

function readString(body: unknown): string {
  if (typeof body !== 'string') throw createProtocolError('a string');
  return body;
}

function readRevision(body: unknown): number {
  if (!Number.isSafeInteger(body) || (body as number) < 0) {
    throw createProtocolError('a revision');
  }
  return body as number;
}

function parseBody<T>(
  call: string,
  effect: CallEffect,
  body: string,
  decode: DecodeBody<T>,
): T {
  try {
    return decode(JSON.parse(body));
  } catch (cause) {
    // A write whose reply is malformed may have taken effect.
    const code =
      effect === CallEffect.WRITES
        ? ErrorCode.STORE_OUTCOME_UNKNOWN
        : ErrorCode.STORE_PROTOCOL;
    throw createError(code, call, 'got a malformed reply', {cause});
  }
}

function createStatusError(
  call: string,
  effect: CallEffect,
  status: number,
  body: string,
): Error {
  if (status === STATUS_CONFLICT) {
    return createError(ErrorCode.STORE_CONFLICT, call, `conflicts: ${body}`);
  }
  if (status === STATUS_TOO_MANY_REQUESTS) {
    const what = 'was rejected by the rate limit';
    return createError(ErrorCode.STORE_UNAVAILABLE, call, what);
  }
  if (status >= MIN_SERVER_ERROR_STATUS) {
    return createLostError(call, effect, `got status ${status}`);
  }
  return createError(
    ErrorCode.STORE_PROTOCOL,
    call,
    `got status ${status}, which the protocol does not define`,
  );
}

function createLostError(
  call: string,
  effect: CallEffect,
  what: string,
  cause?: unknown,
): Error {
  const code =
    effect === CallEffect.WRITES
      ? ErrorCode.STORE_OUTCOME_UNKNOWN
      : ErrorCode.STORE_UNAVAILABLE;
  return createError(code, call, what, {cause});
}

function createProtocolError(wanted: string): Error {
  return createError(
    ErrorCode.STORE_PROTOCOL,
    'reply',
    `lacks ${wanted} that the protocol requires`,
  );
}

function createError(
  code: ErrorCode,
  call: string,
  what: string,
  options: {cause?: unknown} = {},
): Error {
  return new StoreError(`Store call "${call}" ${what}.`, {
    ...(options.cause === undefined ? {} : {cause: options.cause}),
    props: {code},
  });
}
