/** The clock of a target, and how long its lease can last at most. */

/** How much slower than ours a target's clock may run. */
const CLOCK_SLOWNESS = 0.02;

/** Time in milliseconds that a target may take to kill what has lapsed. */
const KILL_MARGIN_MS = 60;

/**
 * Estimates a target's steady clock from its answers, and tells when a lease
 * that was asked for has ended for certain.
 */
export class LeaseClock {
  private clockMs = 0;
  private receivedAtMs = 0;
  private deadlineMs = 0;

  private constructor() {}

  /** Creates a clock that has not been read. */
  static create(): LeaseClock {
    return new LeaseClock();
  }

  /** Tells whether the target's clock has been read. */
  get isKnown(): boolean {
    return this.receivedAtMs > 0;
  }

  /** Takes the clock that an answer carried. Answers may come out of order. */
  observe(clockMs: number, receivedAtMs: number): void {
    if (this.isKnown && clockMs < this.estimate(receivedAtMs)) return;
    this.clockMs = clockMs;
    this.receivedAtMs = receivedAtMs;
  }

  /** Returns a time that the target's clock has reached for certain. */
  estimate(nowMs: number): number {
    const passedMs = Math.max(0, nowMs - this.receivedAtMs);
    return Math.floor(this.clockMs + passedMs * (1 - CLOCK_SLOWNESS));
  }

  /** Returns the end of a lease to ask for now, on the target's clock. */
  extend(nowMs: number, leaseMs: number): number {
    const deadlineMs = this.estimate(nowMs) + leaseMs;
    this.deadlineMs = Math.max(this.deadlineMs, deadlineMs);
    return this.deadlineMs;
  }

  /** Returns our time from which nothing can run under the lease any more. */
  computeExpiry(): number {
    const leftMs = Math.max(0, this.deadlineMs - this.clockMs);
    return this.receivedAtMs + leftMs / (1 - CLOCK_SLOWNESS) + KILL_MARGIN_MS;
  }

  /** Forgets everything: another life of the target has begun. */
  reset(): void {
    this.clockMs = 0;
    this.receivedAtMs = 0;
    this.deadlineMs = 0;
  }
}
