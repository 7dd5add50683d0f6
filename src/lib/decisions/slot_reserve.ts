/** Keeps a few slots free of large jobs while the load allows it. */

/** Share of this entry's slots that a large job leaves free. */
const RESERVED_SHARE = 0.1;

/** Share of this entry's slots from which on a job counts as large. */
const LARGE_SHARE = 0.25;

/** Mean share of busy slots above which nothing is kept free. */
const BUSY_LIMIT = 0.85;

/** Time in milliseconds over which the mean is taken. */
const MEAN_OVER_MS = 5000;

/**
 * Knows how many tasks of each job are out.
 *
 * A large job that takes every free slot in one burst makes the small jobs
 * after it wait for its first task to end. It leaves a tenth of the slots free
 * instead, unless the slots have been busy for a while, when idle slots would
 * cost more than they save.
 */
export class SlotReserve {
  private readonly outByJob = new Map<string, number>();
  private out = 0;
  private busyShare = 0;
  private countedAtMs = 0;

  private constructor() {}

  /** Creates a reserve with nothing out. */
  static create(): SlotReserve {
    return new SlotReserve();
  }

  /** Counts a task of a job that is sent, or with -1 one that came back. */
  count(job: string, change: 1 | -1): void {
    const count = (this.outByJob.get(job) ?? 0) + change;
    if (count > 0) this.outByJob.set(job, count);
    else this.outByJob.delete(job);
    this.out += change;
  }

  /**
   * Tells whether a job's next task is to leave the free slots to others.
   *
   * @param slots This entry's share of the usable slots.
   */
  isKept(job: string, slots: number, nowMs: number): boolean {
    this.updateMean(slots, nowMs);
    if (this.busyShare > BUSY_LIMIT) return false;
    const own = this.outByJob.get(job) ?? 0;
    if (own < slots * LARGE_SHARE) return false;
    return this.out >= slots * (1 - RESERVED_SHARE);
  }

  private updateMean(slots: number, nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.countedAtMs);
    const weight = 1 - Math.exp(-passedMs / MEAN_OVER_MS);
    const busy = this.out / Math.max(1, slots);
    this.busyShare += weight * (busy - this.busyShare);
    this.countedAtMs = nowMs;
  }
}
