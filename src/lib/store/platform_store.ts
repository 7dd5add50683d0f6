/** Interface to the platform's key-value service. */

/** One stored value. */
export interface StoredValue {
  readonly key: string;
  /** UTF-8 text, at most one megabyte. */
  readonly value: string;
  /** Revision of the store at which this value was last written. */
  readonly revision: number;
}

/** All values under a prefix at one revision of the store. */
export interface StoreSnapshot {
  readonly revision: number;
  readonly values: readonly StoredValue[];
}

/** Kinds of change that a watch reports. */
export enum StoreChangeKind {
  WRITTEN = 'written',
  DELETED = 'deleted',
}

/** One change that a watch reports. */
export interface StoreChange {
  readonly kind: StoreChangeKind;
  readonly key: string;
  /** Empty for a deletion. */
  readonly value: string;
  readonly revision: number;
}

/** Reply to a watch call: the changes after the requested revision. */
export interface StoreChanges {
  /** Revision up to which `changes` is complete. */
  readonly revision: number;
  readonly changes: readonly StoreChange[];
  /** Whether the store has compacted the changes, so that the caller must list again. */
  readonly isCompacted: boolean;
}

/** Expected revision of a key that must not exist yet. */
export const ABSENT_REVISION = 0;

/** A write that succeeds only if the key is still at the expected revision. */
export interface ConditionalWrite {
  readonly key: string;
  readonly value: string;
  /** `ABSENT_REVISION` if the key must not exist. */
  readonly expectedRevision: number;
  /** Lease whose end deletes the key. */
  readonly lease?: string;
}

/**
 * Calls to the platform's store. Each method makes a single call, as counted by
 * the platform, rejects with `StoreError` and does not retry.
 */
export interface PlatformStore {
  /** Reads all values under a prefix. */
  readonly list: (prefix: string) => Promise<StoreSnapshot>;
  /**
   * Writes if the key is at the expected revision; returns the new revision.
   * Rejects with code `store-conflict` if it is not, and with
   * `store-outcome-unknown` if the reply was lost after the call was sent.
   */
  readonly write: (write: ConditionalWrite) => Promise<number>;
  /** Deletes if the key is at the expected revision. Rejects as `write` does. */
  readonly remove: (key: string, expectedRevision: number) => Promise<number>;
  /** Waits for changes under a prefix after a revision, at most `waitMs`. */
  readonly watch: (
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ) => Promise<StoreChanges>;
  /** Opens a lease and returns its id. */
  readonly openLease: (timeToLiveMs: number) => Promise<string>;
  /** Renews a lease. Rejects with `store-conflict` if it has ended. */
  readonly renewLease: (lease: string) => Promise<void>;
  /** Ends a lease and deletes the keys bound to it. */
  readonly closeLease: (lease: string) => Promise<void>;
  /** Releases the connections. */
  readonly close: () => Promise<void>;
}
