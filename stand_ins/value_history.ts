/** Values of the store stand-in and the bounded history of their changes. */
import {
  ABSENT_REVISION,
  StoreChangeKind,
} from '../src/lib/store/platform_store.js';
import type {
  StoreChange,
  StoreChanges,
  StoreSnapshot,
  StoredValue,
} from '../src/lib/store/platform_store.js';

interface Step {
  readonly change: StoreChange;
  /** What the key held before, so that a step can be undone. */
  readonly previous: StoredValue | undefined;
}

interface StaleView {
  readonly revision: number;
  readonly values: ReadonlyMap<string, StoredValue>;
}

/**
 * Holds the values and the last changes. Every change takes one revision, so a
 * change's place in the history follows from its revision.
 */
export class ValueHistory {
  private readonly values = new Map<string, StoredValue>();
  private steps: Step[] = [];
  private newest = 0;
  /** Changes up to this revision are forgotten. */
  private compacted = 0;
  private stale: StaleView | undefined;

  private constructor(private readonly limit: number) {}

  /** Creates an empty history that keeps at least `limit` changes. */
  static create(limit: number): ValueHistory {
    return new ValueHistory(limit);
  }

  /** Revision of the last change. */
  get revision(): number {
    return this.newest;
  }

  /** Number of values held. */
  get valueCount(): number {
    return this.values.size;
  }

  /** Returns the revision at which a key was last written. */
  getRevision(key: string): number {
    return this.values.get(key)?.revision ?? ABSENT_REVISION;
  }

  /** Writes a value; returns the new revision. */
  write(key: string, value: string): number {
    return this.take({
      kind: StoreChangeKind.WRITTEN,
      key,
      value,
      revision: this.newest + 1,
    });
  }

  /** Deletes a value; returns the new revision. */
  remove(key: string): number {
    return this.take({
      kind: StoreChangeKind.DELETED,
      key,
      value: '',
      revision: this.newest + 1,
    });
  }

  /** Lists the values under a prefix, as of the stale revision if one is set. */
  list(prefix: string): StoreSnapshot {
    const view = this.stale ?? {revision: this.newest, values: this.values};
    return {
      revision: view.revision,
      values: [...view.values.values()].filter(value =>
        value.key.startsWith(prefix),
      ),
    };
  }

  /** Collects the changes under a prefix after a revision. */
  collect(prefix: string, afterRevision: number): StoreChanges {
    const revision = this.stale?.revision ?? this.newest;
    if (afterRevision < this.compacted) {
      return {revision, changes: [], isCompacted: true};
    }
    const changes = this.steps
      .slice(
        afterRevision - this.compacted,
        Math.max(0, revision - this.compacted),
      )
      .map(step => step.change)
      .filter(change => change.key.startsWith(prefix));
    return {revision, changes, isCompacted: false};
  }

  /** Fixes reads at an older revision; false if it is no longer known. */
  setStaleRevision(revision: number | undefined): boolean {
    if (revision === undefined) {
      this.stale = undefined;
      return true;
    }
    if (revision < this.compacted || revision > this.newest) return false;
    this.stale = {revision, values: this.undoTo(revision)};
    return true;
  }

  /** Forgets all changes but the last `keep`. */
  compact(keep: number): void {
    const dropped = Math.max(0, this.steps.length - keep);
    this.steps = this.steps.slice(dropped);
    this.compacted += dropped;
  }

  private take(change: StoreChange): number {
    const {key, value, revision} = change;
    this.steps.push({change, previous: this.values.get(key)});
    this.newest = revision;
    if (change.kind === StoreChangeKind.DELETED) this.values.delete(key);
    else this.values.set(key, {key, value, revision});
    // Dropping half at a time keeps the cost of a change constant.
    if (this.steps.length > 2 * this.limit) this.compact(this.limit);
    return revision;
  }

  private undoTo(revision: number): Map<string, StoredValue> {
    const values = new Map(this.values);
    const undone = this.steps.slice(revision - this.compacted).reverse();
    for (const {change, previous} of undone) {
      if (previous === undefined) values.delete(change.key);
      else values.set(change.key, previous);
    }
    return values;
  }
}
