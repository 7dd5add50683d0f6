/** Work that waits, summed by rank. */

/** Width in ranks (milliseconds) of one sum. */
const STEP = 250;

/** Answers how much work stands before a rank, to within one step. */
export class WorkLedger {
  private readonly sums = new Map<number, number>();

  private constructor() {}

  /** Creates an empty ledger. */
  static create(): WorkLedger {
    return new WorkLedger();
  }

  /** Adds work at a rank, or takes it away if `workMs` is negative. */
  add(rank: number, workMs: number): void {
    const step = Math.floor(rank / STEP);
    const sum = (this.sums.get(step) ?? 0) + workMs;
    // What is left of a sum below this is rounding.
    if (sum < 1e-6) this.sums.delete(step);
    else this.sums.set(step, sum);
  }

  /** Returns the work of all ranks up to and including that of `rank`. */
  sumUpTo(rank: number): number {
    const last = Math.floor(rank / STEP);
    let total = 0;
    for (const [step, sum] of this.sums) if (step <= last) total += sum;
    return total;
  }
}
