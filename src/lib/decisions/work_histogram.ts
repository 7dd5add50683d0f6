/** Histogram of the waiting work by its latest start. */

/** Width of one bucket in milliseconds. */
const BUCKET_MS = 250;

/** Sums the work that has to start by a time, at the resolution of one bucket. */
export class WorkHistogram {
  private readonly sums = new Map<number, number>();

  private constructor() {}

  /** Creates an empty histogram. */
  static create(): WorkHistogram {
    return new WorkHistogram();
  }

  /** Adds work by its latest start; negative work is subtracted. */
  add(startByMs: number, workMs: number): void {
    const bucket = Math.floor(startByMs / BUCKET_MS);
    const sum = (this.sums.get(bucket) ?? 0) + workMs;
    // A smaller remainder is a rounding error.
    if (sum < 1e-6) this.sums.delete(bucket);
    else this.sums.set(bucket, sum);
  }

  /** Returns the total work in milliseconds that has to start by a time. */
  sumUpTo(startByMs: number): number {
    const last = Math.floor(startByMs / BUCKET_MS);
    let total = 0;
    for (const [bucket, sum] of this.sums) if (bucket <= last) total += sum;
    return total;
  }
}
