/** How long an answer may take before it counts as lost. */

/** Weights of the newest answer, as TCP has them (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Deviations above the mean that are still ordinary (RFC 6298). */
const DEVIATIONS = 4;

/** Bounds in milliseconds: a turn of a busy event loop; a lost call. */
const LEAST_MS = 20;
const GREATEST_MS = 120;

/**
 * Learns from the answers that came how long to wait for one. Pattern: a few
 * orders in a hundred get no answer for seconds, and a task of 80 ms cannot
 * wait out a fixed limit made for the worst moment.
 */
export class ResponseTimeout {
  private meanMs = GREATEST_MS / 2;
  private deviationMs = GREATEST_MS / 8;

  private constructor() {}

  /** Creates an estimate that begins at the upper bound. */
  static create(): ResponseTimeout {
    return new ResponseTimeout();
  }

  /** Time in milliseconds after which an answer counts as lost. */
  get limitMs(): number {
    const limitMs = this.meanMs + DEVIATIONS * this.deviationMs;
    return Math.min(GREATEST_MS, Math.max(LEAST_MS, Math.ceil(limitMs)));
  }

  /** Takes the time that an answer took. */
  record(tookMs: number): void {
    const error = tookMs - this.meanMs;
    this.meanMs += MEAN_WEIGHT * error;
    this.deviationMs += DEVIATION_WEIGHT * (Math.abs(error) - this.deviationMs);
  }
}
