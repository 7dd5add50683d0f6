/** An in-memory platform store with fault injection. */
import {ErrorCode, StoreError} from '../../src/lib/core/errors.js';
import {
  ABSENT_REVISION,
  StoreChangeKind,
} from '../../src/lib/store/platform_store.js';
import type {
  ConditionalWrite,
  PlatformStore,
  StoreChange,
  StoreChanges,
  StoreSnapshot,
  StoredValue,
} from '../../src/lib/store/platform_store.js';

/** Faults that tests inject; counts decrease as faults occur. */
export interface MemoryStoreFaults {
  /** Every call fails. */
  isDown: boolean;
  /** Number of next writes that take effect but whose replies are lost. */
  lostReplies: number;
  /** Number of next writes that are lost before they take effect. */
  lostWrites: number;
  /** Number of next writes that fail now and take effect on `applyDelayedWrites`. */
  delayedWrites: number;
  /** Revision as of which lists and watches are answered. */
  staleRevision: number | undefined;
  /** Watches after an older revision are answered as compacted. */
  compactedRevision: number;
}

interface PendingWatch {
  readonly prefix: string;
  readonly after: number;
  readonly resolve: (changes: StoreChanges) => void;
  readonly reject: (failure: unknown) => void;
}

/** Creates an error as a store call rejects with. */
export function createStoreError(code: ErrorCode) {
  return new StoreError(`Test store: ${code}.`, {props: {code}});
}

/** Stores values in memory; may be shared by several clients. */
export class MemoryStore {
  readonly faults: MemoryStoreFaults = {
    isDown: false,
    lostReplies: 0,
    lostWrites: 0,
    delayedWrites: 0,
    staleRevision: undefined,
    compactedRevision: 0,
  };
  /** Number of calls by name; a waiting watch counts once. */
  readonly calls: Record<string, number> = {};
  revision = 0;

  private readonly log: Array<StoreChange & {lease?: string}> = [];
  private readonly leases = new Set<string>();
  private pendingWatches: PendingWatch[] = [];
  private delayed: Array<() => number> = [];

  private constructor() {}

  static create(): MemoryStore {
    return new MemoryStore();
  }

  /** Creates a client of the store. */
  createClient(): PlatformStore {
    return {
      list: prefix => this.run('list', () => this.list(prefix)),
      write: write => this.runWrite('write', () => this.write(write)),
      remove: (key, expected) =>
        this.runWrite('remove', () => this.remove(key, expected)),
      watch: (prefix, after) => this.watch(prefix, after),
      openLease: () => this.run('openLease', () => this.openLease()),
      renewLease: lease => this.run('renewLease', () => this.checkLease(lease)),
      closeLease: lease => this.run('closeLease', () => this.endLease(lease)),
      close: () => this.close(),
    };
  }

  /** Returns the current value under a key. */
  read(key: string): StoredValue | undefined {
    return this.list(key).values.find(value => value.key === key);
  }

  /** Writes a value unconditionally. */
  put(key: string, value: string): number {
    const expectedRevision = this.read(key)?.revision ?? ABSENT_REVISION;
    return this.write({key, value, expectedRevision});
  }

  /** Ends a lease and deletes its keys, as on expiry. */
  endLease(lease: string): void {
    this.leases.delete(lease);
    for (const [key, change] of this.collectValues(this.revision)) {
      if (change.lease === lease) this.remove(key, change.revision);
    }
  }

  /** Lets delayed writes take effect if their expected revision still matches. */
  applyDelayedWrites(): void {
    const delayed = this.delayed;
    this.delayed = [];
    for (const call of delayed) {
      try {
        call();
      } catch {
        // The expected revision no longer matches; no caller awaits this write.
      }
    }
  }

  /** Answers all waiting watches without a change. */
  releaseWatches(): void {
    const pendingWatches = this.pendingWatches;
    this.pendingWatches = [];
    for (const pending of pendingWatches) {
      pending.resolve(this.collectChanges(pending));
    }
  }

  /** Makes all calls fail, including the watches that wait. */
  breakDown(): void {
    this.faults.isDown = true;
    const pendingWatches = this.pendingWatches;
    this.pendingWatches = [];
    for (const {reject} of pendingWatches) {
      reject(createStoreError(ErrorCode.STORE_UNAVAILABLE));
    }
  }

  /** All changes, oldest first. */
  get changes(): readonly StoreChange[] {
    return this.log;
  }

  /** Number of waiting watches. */
  get waiting(): number {
    return this.pendingWatches.length;
  }

  private async run<T>(name: string, call: () => T): Promise<T> {
    this.count(name);
    return call();
  }

  private async runWrite(name: string, call: () => number): Promise<number> {
    this.count(name);
    if (this.faults.lostWrites > 0) {
      this.faults.lostWrites -= 1;
      throw createStoreError(ErrorCode.STORE_OUTCOME_UNKNOWN);
    }
    if (this.faults.delayedWrites > 0) {
      this.faults.delayedWrites -= 1;
      this.delayed.push(call);
      throw createStoreError(ErrorCode.STORE_OUTCOME_UNKNOWN);
    }
    const revision = call();
    if (this.faults.lostReplies > 0) {
      this.faults.lostReplies -= 1;
      throw createStoreError(ErrorCode.STORE_OUTCOME_UNKNOWN);
    }
    return revision;
  }

  /** Counts a call; throws if the store is down. */
  private count(name: string): void {
    this.calls[name] = (this.calls[name] ?? 0) + 1;
    if (this.faults.isDown) {
      throw createStoreError(ErrorCode.STORE_UNAVAILABLE);
    }
  }

  /** Returns the values as of a revision, by key. */
  private collectValues(
    revision: number,
  ): Map<string, (typeof this.log)[number]> {
    const values = new Map<string, (typeof this.log)[number]>();
    for (const change of this.log) {
      if (change.revision > revision) break;
      if (change.kind === StoreChangeKind.DELETED) values.delete(change.key);
      else values.set(change.key, change);
    }
    return values;
  }

  private get visibleRevision(): number {
    return Math.min(this.revision, this.faults.staleRevision ?? this.revision);
  }

  private list(prefix: string): StoreSnapshot {
    const revision = this.visibleRevision;
    const values = [...this.collectValues(revision).values()]
      .filter(({key}) => key.startsWith(prefix))
      .map(({key, value, revision: written}) => ({
        key,
        value,
        revision: written,
      }));
    return {revision, values};
  }

  private write(write: ConditionalWrite): number {
    this.checkRevision(write.key, write.expectedRevision);
    if (write.lease !== undefined) this.checkLease(write.lease);
    return this.append({
      kind: StoreChangeKind.WRITTEN,
      key: write.key,
      value: write.value,
      lease: write.lease,
    });
  }

  private remove(key: string, expectedRevision: number): number {
    this.checkRevision(key, expectedRevision);
    return this.append({kind: StoreChangeKind.DELETED, key, value: ''});
  }

  private checkRevision(key: string, expectedRevision: number): void {
    const current = this.collectValues(this.revision).get(key);
    if ((current?.revision ?? ABSENT_REVISION) !== expectedRevision) {
      throw createStoreError(ErrorCode.STORE_CONFLICT);
    }
  }

  private append(
    change: Omit<StoreChange, 'revision'> & {lease?: string},
  ): number {
    this.revision += 1;
    this.log.push({...change, revision: this.revision});
    const ready = this.pendingWatches.filter(({prefix}) =>
      change.key.startsWith(prefix),
    );
    this.pendingWatches = this.pendingWatches.filter(
      pending => !ready.includes(pending),
    );
    for (const pending of ready) pending.resolve(this.collectChanges(pending));
    return this.revision;
  }

  private collectChanges({prefix, after}: PendingWatch): StoreChanges {
    const revision = this.visibleRevision;
    const changes = this.log.filter(
      change =>
        change.key.startsWith(prefix) &&
        change.revision > after &&
        change.revision <= revision,
    );
    return {revision, changes, isCompacted: false};
  }

  private async watch(prefix: string, after: number): Promise<StoreChanges> {
    this.count('watch');
    if (after < this.faults.compactedRevision) {
      return {revision: this.revision, changes: [], isCompacted: true};
    }
    return new Promise((resolve, reject) => {
      const pending = {prefix, after, resolve, reject};
      const reply = this.collectChanges(pending);
      if (reply.changes.length > 0) resolve(reply);
      else this.pendingWatches.push(pending);
    });
  }

  private openLease(): string {
    const lease = `lease-${(this.calls.openLease ?? 0).toString()}`;
    this.leases.add(lease);
    return lease;
  }

  private checkLease(lease: string): void {
    if (!this.leases.has(lease)) {
      throw createStoreError(ErrorCode.STORE_CONFLICT);
    }
  }

  private async close(): Promise<void> {
    this.breakDown();
  }
}
