/** Effect of each call on the values and leases of the store stand-in. */
import {ABSENT_REVISION} from '../src/lib/store/platform_store.js';
import type {ConditionalWrite} from '../src/lib/store/platform_store.js';
import {LeaseTable} from './lease_table.js';
import {StoreAnswerKind, StoreCallKind} from './store_call.js';
import type {StoreAnswer, StoreCall, WatchCall} from './store_call.js';
import {ValueHistory} from './value_history.js';

/** Maximum size of a value, as the service limits it. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Options of a store state. */
export interface PlatformStoreStateOptions {
  /** Number of changes retained for watches. */
  readonly historyLimit: number;
  /** Returns the id for a new lease. */
  readonly createLeaseId: () => string;
}

/**
 * Holds values, leases and one revision counter. Callers pass in the time; this
 * class uses no clock and no socket.
 */
export class PlatformStoreState {
  private readonly history: ValueHistory;
  private readonly leases = LeaseTable.create();

  private constructor(private readonly options: PlatformStoreStateOptions) {
    this.history = ValueHistory.create(options.historyLimit);
  }

  /** Creates an empty store at revision 0. */
  static create(options: PlatformStoreStateOptions): PlatformStoreState {
    return new PlatformStoreState(options);
  }

  /** Revision of the last change. */
  get revision(): number {
    return this.history.revision;
  }

  /** Number of stored values. */
  get valueCount(): number {
    return this.history.valueCount;
  }

  /** Number of active leases. */
  get leaseCount(): number {
    return this.leases.count;
  }

  /**
   * Applies a call that is answered at once; for watches see `collectChanges`.
   */
  apply(call: Exclude<StoreCall, WatchCall>, nowMs: number): StoreAnswer {
    switch (call.kind) {
      case StoreCallKind.LIST:
        return {
          kind: StoreAnswerKind.SNAPSHOT,
          ...this.history.list(call.prefix),
        };
      case StoreCallKind.WRITE:
        return this.write(call);
      case StoreCallKind.REMOVE:
        return this.remove(call.key, call.expectedRevision);
      case StoreCallKind.OPEN_LEASE:
        return this.openLease(call.timeToLiveMs, nowMs);
      case StoreCallKind.RENEW_LEASE:
        return this.leases.renew(call.lease, nowMs)
          ? {kind: StoreAnswerKind.LEASE_RENEWED}
          : {kind: StoreAnswerKind.LEASE_ENDED, revision: this.revision};
      case StoreCallKind.CLOSE_LEASE:
        this.endLease(call.lease);
        return {kind: StoreAnswerKind.LEASE_CLOSED};
    }
  }

  /**
   * Returns the changes that a watch asks for, or undefined if it has to wait.
   */
  collectChanges(call: WatchCall): StoreAnswer | undefined {
    const found = this.history.collect(call.prefix, call.afterRevision);
    const isAnswer = found.isCompacted || found.changes.length > 0;
    return isAnswer ? {kind: StoreAnswerKind.CHANGES, ...found} : undefined;
  }

  /**
   * Returns the answer to a watch whose wait has ended, possibly without
   * changes.
   */
  concludeWatch(call: WatchCall): StoreAnswer {
    const found = this.history.collect(call.prefix, call.afterRevision);
    return {kind: StoreAnswerKind.CHANGES, ...found};
  }

  /** Ends expired leases; returns whether any value was deleted with them. */
  expireLeases(nowMs: number): boolean {
    const before = this.revision;
    for (const lease of this.leases.findExpired(nowMs)) this.endLease(lease);
    return this.revision !== before;
  }

  /** Returns the earliest lease expiry, or undefined without leases. */
  findNextExpiryMs(): number | undefined {
    return this.leases.findNextExpiryMs();
  }

  /** Extends every lease, as the service does by the duration of an outage. */
  extendLeases(byMs: number): void {
    this.leases.extendAll(byMs);
  }

  /**
   * Makes reads return an older revision, or the latest if undefined; false if
   * it is unknown.
   */
  setStaleRevision(revision: number | undefined): boolean {
    return this.history.setStaleRevision(revision);
  }

  /** Discards the history up to the current revision. */
  compact(): void {
    this.history.compact(0);
  }

  private write(write: ConditionalWrite): StoreAnswer {
    if (Buffer.byteLength(write.value) > MAX_VALUE_BYTES) {
      return {kind: StoreAnswerKind.TOO_LARGE};
    }
    const conflict = this.findConflict(write.key, write.expectedRevision);
    if (conflict !== undefined) return conflict;
    if (write.lease !== undefined && !this.leases.has(write.lease)) {
      return {kind: StoreAnswerKind.LEASE_ENDED, revision: this.revision};
    }
    this.leases.unbind(write.key);
    if (write.lease !== undefined) this.leases.bind(write.key, write.lease);
    return {
      kind: StoreAnswerKind.WRITTEN,
      revision: this.history.write(write.key, write.value),
    };
  }

  private remove(key: string, expectedRevision: number): StoreAnswer {
    const conflict = this.findConflict(key, expectedRevision);
    if (conflict !== undefined) return conflict;
    if (expectedRevision === ABSENT_REVISION) {
      return {kind: StoreAnswerKind.WRITTEN, revision: this.revision};
    }
    this.leases.unbind(key);
    return {
      kind: StoreAnswerKind.WRITTEN,
      revision: this.history.remove(key),
    };
  }

  private findConflict(key: string, expected: number): StoreAnswer | undefined {
    const current = this.history.getRevision(key);
    if (current === expected) return undefined;
    return {kind: StoreAnswerKind.CONFLICT, revision: current};
  }

  private openLease(timeToLiveMs: number, nowMs: number): StoreAnswer {
    const lease = this.options.createLeaseId();
    this.leases.open(lease, timeToLiveMs, nowMs);
    return {kind: StoreAnswerKind.LEASE_OPENED, lease};
  }

  private endLease(lease: string): void {
    for (const key of this.leases.end(lease)) this.history.remove(key);
  }
}
