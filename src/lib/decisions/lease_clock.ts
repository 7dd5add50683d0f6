/** Estimates the clock of a target and the latest end of its lease. */

/** Largest relative drift by which a target's clock may run slower than the local clock. */
const MAX_CLOCK_DRIFT = 0.02;

/** Time in milliseconds that a target may take to kill runs after lease expiry. */
const KILL_MARGIN_MS = 60;

/**
 * Estimates a target's monotonic clock from its responses, and computes when a
 * requested lease has certainly expired.
 */
export class LeaseClock {
  private clockMs = 0;
  private receivedAtMs = 0;
  private deadlineMs = 0;

  private constructor() {}

  /** Creates an estimate without any reading. */
  static create(): LeaseClock {
    return new LeaseClock();
  }

  /** Whether the target's clock has been read. */
  get isKnown(): boolean {
    return this.receivedAtMs > 0;
  }

  /** Records the clock reading of a response. Responses may arrive out of order. */
  observe(clockMs: number, receivedAtMs: number): void {
    if (this.isKnown && clockMs < this.estimate(receivedAtMs)) return;
    this.clockMs = clockMs;
    this.receivedAtMs = receivedAtMs;
  }

  /** Returns a lower bound in milliseconds of the target's current clock; 0 if unknown. */
  estimate(nowMs: number): number {
    if (!this.isKnown) return 0;
    const elapsedMs = Math.max(0, nowMs - this.receivedAtMs);
    return Math.floor(this.clockMs + elapsedMs * (1 - MAX_CLOCK_DRIFT));
  }

  /** Returns the lease end to request now, on the target's clock; it never decreases. */
  extend(nowMs: number, leaseMs: number): number {
    const deadlineMs = this.estimate(nowMs) + leaseMs;
    this.deadlineMs = Math.max(this.deadlineMs, deadlineMs);
    return this.deadlineMs;
  }

  /** Returns the local time in milliseconds from which no run of the lease can exist. */
  computeExpiry(): number {
    const remainingMs = Math.max(0, this.deadlineMs - this.clockMs);
    return (
      this.receivedAtMs + remainingMs / (1 - MAX_CLOCK_DRIFT) + KILL_MARGIN_MS
    );
  }

  /** Resets the estimate for a new incarnation of the target. */
  reset(): void {
    this.clockMs = 0;
    this.receivedAtMs = 0;
    this.deadlineMs = 0;
  }
}
