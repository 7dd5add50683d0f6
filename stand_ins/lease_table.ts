/** Leases of the store stand-in and the keys bound to them. */

interface Lease {
  readonly timeToLiveMs: number;
  readonly keys: Set<string>;
  endsAtMs: number;
}

/** Holds the leases that have not ended. */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();
  private readonly leaseByKey = new Map<string, string>();

  private constructor() {}

  /** Creates a table without leases. */
  static create(): LeaseTable {
    return new LeaseTable();
  }

  /** Number of leases that have not ended. */
  get count(): number {
    return this.leases.size;
  }

  /** Tells whether a lease has not ended. */
  has(id: string): boolean {
    return this.leases.has(id);
  }

  /** Opens a lease. */
  open(id: string, timeToLiveMs: number, nowMs: number): void {
    const endsAtMs = nowMs + timeToLiveMs;
    this.leases.set(id, {timeToLiveMs, keys: new Set(), endsAtMs});
  }

  /** Renews a lease; false if it has ended. */
  renew(id: string, nowMs: number): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    lease.endsAtMs = nowMs + lease.timeToLiveMs;
    return true;
  }

  /** Ends a lease and returns the keys that go with it. */
  end(id: string): string[] {
    const keys = [...(this.leases.get(id)?.keys ?? [])];
    this.leases.delete(id);
    for (const key of keys) this.leaseByKey.delete(key);
    return keys;
  }

  /** Binds a key to a lease. */
  bind(key: string, id: string): void {
    this.leases.get(id)?.keys.add(key);
    this.leaseByKey.set(key, id);
  }

  /** Unbinds a key from its lease, if it has one. */
  unbind(key: string): void {
    const id = this.leaseByKey.get(key);
    if (id === undefined) return;
    this.leases.get(id)?.keys.delete(key);
    this.leaseByKey.delete(key);
  }

  /** Finds the leases whose time is over. */
  findExpired(nowMs: number): string[] {
    return [...this.leases.entries()]
      .filter(([, lease]) => lease.endsAtMs <= nowMs)
      .map(([id]) => id);
  }

  /** Returns when the next lease ends. */
  findNextExpiryMs(): number | undefined {
    const ends = [...this.leases.values()].map(lease => lease.endsAtMs);
    return ends.length === 0 ? undefined : Math.min(...ends);
  }

  /** Prolongs every lease. */
  extendAll(byMs: number): void {
    for (const lease of this.leases.values()) lease.endsAtMs += byMs;
  }
}
