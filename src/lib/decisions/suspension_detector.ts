/**
 * Detects that the host was suspended: its monotonic clock stood still, its
 * system clock did not.
 */

/**
 * Difference in milliseconds by which the system clock must run ahead of the
 * monotonic clock between two readings. A step of the system clock is taken for
 * a suspension too, which costs one round trip to each entry.
 */
const MIN_SUSPENSION_MS = 250;

/** Compares the monotonic clock with the system clock at each reading. */
export class SuspensionDetector {
  private offsetMs: number | undefined;

  private constructor() {}

  /** Creates a detector without a reading. */
  static create(): SuspensionDetector {
    return new SuspensionDetector();
  }

  /**
   * Records a reading of both clocks; returns whether the host may have been
   * suspended since the last one.
   */
  observe(monotonicMs: number, systemMs: number): boolean {
    const offsetMs = systemMs - monotonicMs;
    const previousMs = this.offsetMs ?? offsetMs;
    this.offsetMs = offsetMs;
    return offsetMs - previousMs >= MIN_SUSPENSION_MS;
  }
}
