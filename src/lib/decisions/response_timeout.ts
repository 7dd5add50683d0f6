/** Adaptive timeout after which a response counts as lost. */

/** Weights of the newest response, as in TCP (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Number of mean deviations above the mean (RFC 6298). */
const DEVIATION_FACTOR = 4;

/** Bounds in milliseconds: one turn of a busy event loop, and a lost call. */
const MIN_TIMEOUT_MS = 20;
const MAX_TIMEOUT_MS = 120;

/**
 * Derives the timeout from the response times seen. A few orders in a hundred
 * get no response for seconds, and a task of 80 ms cannot wait for a fixed
 * timeout that suits the worst case.
 */
export class ResponseTimeout {
  private meanMs = MAX_TIMEOUT_MS / 2;
  private deviationMs = MAX_TIMEOUT_MS / 8;

  private constructor() {}

  /** Creates an estimate that starts at the upper bound. */
  static create(): ResponseTimeout {
    return new ResponseTimeout();
  }

  /** Time in milliseconds after which a response counts as lost. */
  get timeoutMs(): number {
    const timeoutMs = this.meanMs + DEVIATION_FACTOR * this.deviationMs;
    return Math.min(
      MAX_TIMEOUT_MS,
      Math.max(MIN_TIMEOUT_MS, Math.ceil(timeoutMs)),
    );
  }

  /** Records the time in milliseconds that a response took. */
  record(tookMs: number): void {
    const error = tookMs - this.meanMs;
    this.meanMs += MEAN_WEIGHT * error;
    this.deviationMs += DEVIATION_WEIGHT * (Math.abs(error) - this.deviationMs);
  }
}
