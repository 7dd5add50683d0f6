/** Leases of the store stand-in and the keys attached to them. */

interface Lease {
  readonly timeToLiveMs: number;
  readonly keys: Set<string>;
  endsAtMs: number;
}

/** Table of active leases, by id and by key. */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();
  private readonly leaseByKey = new Map<string, string>();

  private constructor() {}

  /** Creates an empty table. */
  static create(): LeaseTable {
    return new LeaseTable();
  }

  /** Number of active leases. */
  get count(): number {
    return this.leases.size;
  }

  /** Returns whether a lease is active. */
  has(id: string): boolean {
    return this.leases.has(id);
  }

  /**
   * Opens a lease that expires `timeToLiveMs` after `nowMs` unless it is
   * renewed.
   */
  open(id: string, timeToLiveMs: number, nowMs: number): void {
    const endsAtMs = nowMs + timeToLiveMs;
    this.leases.set(id, {timeToLiveMs, keys: new Set(), endsAtMs});
  }

  /** Restarts a lease's time to live; returns false if the lease has ended. */
  renew(id: string, nowMs: number): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    lease.endsAtMs = nowMs + lease.timeToLiveMs;
    return true;
  }

  /**
   * Ends a lease and returns the keys attached to it, which the caller deletes.
   */
  end(id: string): string[] {
    const keys = [...(this.leases.get(id)?.keys ?? [])];
    this.leases.delete(id);
    for (const key of keys) this.leaseByKey.delete(key);
    return keys;
  }

  /**
   * Attaches a key to a lease, so that the key is deleted when the lease ends.
   */
  bind(key: string, id: string): void {
    this.leases.get(id)?.keys.add(key);
    this.leaseByKey.set(key, id);
  }

  /** Detaches a key from its lease, if it has one. */
  unbind(key: string): void {
    const id = this.leaseByKey.get(key);
    if (id === undefined) return;
    this.leases.get(id)?.keys.delete(key);
    this.leaseByKey.delete(key);
  }

  /** Returns the ids of the leases that have expired by `nowMs`. */
  findExpired(nowMs: number): string[] {
    return [...this.leases.entries()]
      .filter(([, lease]) => lease.endsAtMs <= nowMs)
      .map(([id]) => id);
  }

  /** Returns the earliest expiry time, or undefined without leases. */
  findNextExpiryMs(): number | undefined {
    const ends = [...this.leases.values()].map(lease => lease.endsAtMs);
    return ends.length === 0 ? undefined : Math.min(...ends);
  }

  /** Extends every lease by the same time. */
  extendAll(byMs: number): void {
    for (const lease of this.leases.values()) lease.endsAtMs += byMs;
  }
}
