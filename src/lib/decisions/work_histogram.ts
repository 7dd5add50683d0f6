/** Work that waits, summed by the time at which it has to start. */

/** Width in milliseconds of one sum. */
const STEP_MS = 250;

/** Answers how much work has to start by a time, to within one step. */
export class WorkHistogram {
  private readonly sums = new Map<number, number>();

  private constructor() {}

  /** Creates an empty ledger. */
  static create(): WorkHistogram {
    return new WorkHistogram();
  }

  /** Adds work that has to start by a time; takes it away if negative. */
  add(startByMs: number, workMs: number): void {
    const step = Math.floor(startByMs / STEP_MS);
    const sum = (this.sums.get(step) ?? 0) + workMs;
    // What is left of a sum below this is rounding.
    if (sum < 1e-6) this.sums.delete(step);
    else this.sums.set(step, sum);
  }

  /** Returns the work that has to start by a time. */
  sumUpTo(startByMs: number): number {
    const last = Math.floor(startByMs / STEP_MS);
    let total = 0;
    for (const [step, sum] of this.sums) if (step <= last) total += sum;
    return total;
  }
}
