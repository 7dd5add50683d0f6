/**
 * Calls and answers of the platform's key-value service, independent of HTTP.
 */
import type {
  ConditionalWrite,
  StoreChanges,
  StoreSnapshot,
} from '../src/lib/store/platform_store.js';

/** Kinds of call, as call counts list them. */
export enum StoreCallKind {
  LIST = 'list',
  WRITE = 'write',
  REMOVE = 'remove',
  WATCH = 'watch',
  OPEN_LEASE = 'open-lease',
  RENEW_LEASE = 'renew-lease',
  CLOSE_LEASE = 'close-lease',
}

/** A call by a client. */
export type StoreCall =
  | {readonly kind: StoreCallKind.LIST; readonly prefix: string}
  | ({readonly kind: StoreCallKind.WRITE} & ConditionalWrite)
  | {
      readonly kind: StoreCallKind.REMOVE;
      readonly key: string;
      readonly expectedRevision: number;
    }
  | WatchCall
  | {readonly kind: StoreCallKind.OPEN_LEASE; readonly timeToLiveMs: number}
  | {readonly kind: StoreCallKind.RENEW_LEASE; readonly lease: string}
  | {readonly kind: StoreCallKind.CLOSE_LEASE; readonly lease: string};

/**
 * Call that waits up to `waitMs` for changes under a prefix after a revision.
 */
export interface WatchCall {
  readonly kind: StoreCallKind.WATCH;
  readonly prefix: string;
  readonly afterRevision: number;
  readonly waitMs: number;
}

/** Kinds of answer; those of refused calls are their `reason` on the wire. */
export enum StoreAnswerKind {
  SNAPSHOT = 'snapshot',
  CHANGES = 'changes',
  WRITTEN = 'written',
  LEASE_OPENED = 'lease-opened',
  LEASE_RENEWED = 'lease-renewed',
  LEASE_CLOSED = 'lease-closed',
  /** The key is at another revision; nothing was written. */
  CONFLICT = 'conflict',
  /** The lease named in the call has ended; nothing was written. */
  LEASE_ENDED = 'lease-ended',
  /** The value exceeds the size limit; nothing was written. */
  TOO_LARGE = 'too-large',
  /** The call exceeds the rate limit; it had no effect. */
  RATE_LIMITED = 'rate-limited',
}

/** The answer to a call. */
export type StoreAnswer =
  | ({readonly kind: StoreAnswerKind.SNAPSHOT} & StoreSnapshot)
  | ({readonly kind: StoreAnswerKind.CHANGES} & StoreChanges)
  | {readonly kind: StoreAnswerKind.WRITTEN; readonly revision: number}
  | {readonly kind: StoreAnswerKind.CONFLICT; readonly revision: number}
  | {readonly kind: StoreAnswerKind.LEASE_ENDED; readonly revision: number}
  | {readonly kind: StoreAnswerKind.LEASE_OPENED; readonly lease: string}
  | {readonly kind: StoreAnswerKind.LEASE_RENEWED}
  | {readonly kind: StoreAnswerKind.LEASE_CLOSED}
  | {readonly kind: StoreAnswerKind.TOO_LARGE}
  | {readonly kind: StoreAnswerKind.RATE_LIMITED};

/** Returns whether a call counts against the write rate limit. */
export function isWriteCall(kind: StoreCallKind): boolean {
  return kind !== StoreCallKind.LIST && kind !== StoreCallKind.WATCH;
}

/** Returns whether a call writes or deletes a value; lease calls do not. */
export function isValueWrite(kind: StoreCallKind): boolean {
  return kind === StoreCallKind.WRITE || kind === StoreCallKind.REMOVE;
}
