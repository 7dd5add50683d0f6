/** Values of the store stand-in, with a bounded history of changes. */
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

interface HistoryEntry {
  readonly change: StoreChange;
  /** Value before the change, from which an older view is rebuilt. */
  readonly previous: StoredValue | undefined;
}

interface StaleView {
  readonly revision: number;
  readonly values: ReadonlyMap<string, StoredValue>;
}

/**
 * Holds the values and the most recent changes. Each change advances the revision
 * by one, so the index of a change in the history follows from its revision.
 */
export class ValueHistory {
  private readonly values = new Map<string, StoredValue>();
  private entries: HistoryEntry[] = [];
  private lastRevision = 0;
  /** Changes up to this revision have been discarded. */
  private compactedRevision = 0;
  private staleView: StaleView | undefined;

  private constructor(private readonly limit: number) {}

  /**
   * Creates an empty history that retains at least the last `limit` changes.
   */
  static create(limit: number): ValueHistory {
    return new ValueHistory(limit);
  }

  /** Revision of the last change. */
  get revision(): number {
    return this.lastRevision;
  }

  /** Number of stored values. */
  get valueCount(): number {
    return this.values.size;
  }

  /**
   * Returns the revision at which a key was last written, or `ABSENT_REVISION`.
   */
  getRevision(key: string): number {
    return this.values.get(key)?.revision ?? ABSENT_REVISION;
  }

  /** Writes a value; returns the new revision. */
  write(key: string, value: string): number {
    return this.append({
      kind: StoreChangeKind.WRITTEN,
      key,
      value,
      revision: this.lastRevision + 1,
    });
  }

  /** Deletes a value; returns the new revision. */
  remove(key: string): number {
    return this.append({
      kind: StoreChangeKind.DELETED,
      key,
      value: '',
      revision: this.lastRevision + 1,
    });
  }

  /**
   * Lists the values under a prefix, as of the stale revision if one is set.
   */
  list(prefix: string): StoreSnapshot {
    const view = this.staleView ?? {
      revision: this.lastRevision,
      values: this.values,
    };
    return {
      revision: view.revision,
      values: [...view.values.values()].filter(value =>
        value.key.startsWith(prefix),
      ),
    };
  }

  /**
   * Returns the changes under a prefix after a revision; `isCompacted` if some
   * are discarded.
   */
  collect(prefix: string, afterRevision: number): StoreChanges {
    const revision = this.staleView?.revision ?? this.lastRevision;
    if (afterRevision < this.compactedRevision) {
      return {revision, changes: [], isCompacted: true};
    }
    const changes = this.entries
      .slice(
        afterRevision - this.compactedRevision,
        Math.max(0, revision - this.compactedRevision),
      )
      .map(entry => entry.change)
      .filter(change => change.key.startsWith(prefix));
    return {revision, changes, isCompacted: false};
  }

  /**
   * Makes reads return an older revision; returns false if the history does not
   * contain it.
   */
  setStaleRevision(revision: number | undefined): boolean {
    if (revision === undefined) {
      this.staleView = undefined;
      return true;
    }
    if (revision < this.compactedRevision || revision > this.lastRevision) {
      return false;
    }
    this.staleView = {revision, values: this.undoTo(revision)};
    return true;
  }

  /** Discards all changes but the last `keep`. */
  compact(keep: number): void {
    const dropped = Math.max(0, this.entries.length - keep);
    this.entries = this.entries.slice(dropped);
    this.compactedRevision += dropped;
  }

  private append(change: StoreChange): number {
    const {key, value, revision} = change;
    this.entries.push({change, previous: this.values.get(key)});
    this.lastRevision = revision;
    if (change.kind === StoreChangeKind.DELETED) this.values.delete(key);
    else this.values.set(key, {key, value, revision});
    // Discarding half of the history at a time keeps the amortized cost per
    // change constant.
    if (this.entries.length > 2 * this.limit) this.compact(this.limit);
    return revision;
  }

  private undoTo(revision: number): Map<string, StoredValue> {
    const values = new Map(this.values);
    const undone = this.entries
      .slice(revision - this.compactedRevision)
      .reverse();
    for (const {change, previous} of undone) {
      if (previous === undefined) values.delete(change.key);
      else values.set(change.key, previous);
    }
    return values;
  }
}
