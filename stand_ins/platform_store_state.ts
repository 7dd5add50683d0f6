/** Decides what each call does to the values and leases of the store stand-in. */
import {ABSENT_REVISION} from '../src/lib/store/platform_store.js';
import type {ConditionalWrite} from '../src/lib/store/platform_store.js';
import {LeaseTable} from './lease_table.js';
import {StoreAnswerKind, StoreCallKind} from './store_call.js';
import type {StoreAnswer, StoreCall, WatchCall} from './store_call.js';
import {ValueHistory} from './value_history.js';

/** Largest value the service holds. */
export const VALUE_BYTES_AT_MOST = 1_048_576;

/** What the state needs to be created. */
export interface PlatformStoreStateOptions {
  /** Number of changes kept for watches. */
  readonly historyLimit: number;
  /** Draws the id of a new lease. */
  readonly drawLease: () => string;
}

/**
 * Holds values, leases and one revision counter. Time is passed in with each
 * call; nothing here reads a clock or a socket.
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

  /** Number of values held. */
  get valueCount(): number {
    return this.history.valueCount;
  }

  /** Number of leases that have not ended. */
  get leaseCount(): number {
    return this.leases.count;
  }

  /** Applies a call that is answered at once. Watches go to `collectChanges`. */
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

  /** Collects the changes that a watch asks for; undefined if it must wait. */
  collectChanges(call: WatchCall): StoreAnswer | undefined {
    const found = this.history.collect(call.prefix, call.afterRevision);
    const isAnswer = found.isCompacted || found.changes.length > 0;
    return isAnswer ? {kind: StoreAnswerKind.CHANGES, ...found} : undefined;
  }

  /** Answers a watch whose wait is over. */
  concludeWatch(call: WatchCall): StoreAnswer {
    const found = this.history.collect(call.prefix, call.afterRevision);
    return {kind: StoreAnswerKind.CHANGES, ...found};
  }

  /** Ends the leases whose time is over; tells whether a value went with them. */
  expireLeases(nowMs: number): boolean {
    const before = this.revision;
    for (const lease of this.leases.findExpired(nowMs)) this.endLease(lease);
    return this.revision !== before;
  }

  /** Returns when the next lease ends, or undefined without leases. */
  findNextExpiryMs(): number | undefined {
    return this.leases.findNextExpiryMs();
  }

  /** Prolongs every lease, as the service does for the length of its outage. */
  extendLeases(byMs: number): void {
    this.leases.extendAll(byMs);
  }

  /** Makes reads answer as of an older revision, or undefined for the newest. */
  setStaleRevision(revision: number | undefined): boolean {
    return this.history.setStaleRevision(revision);
  }

  /** Forgets every change up to the present revision. */
  compact(): void {
    this.history.compact(0);
  }

  private write(write: ConditionalWrite): StoreAnswer {
    if (Buffer.byteLength(write.value) > VALUE_BYTES_AT_MOST) {
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
    const lease = this.options.drawLease();
    this.leases.open(lease, timeToLiveMs, nowMs);
    return {kind: StoreAnswerKind.LEASE_OPENED, lease};
  }

  private endLease(lease: string): void {
    for (const key of this.leases.end(lease)) this.history.remove(key);
  }
}
