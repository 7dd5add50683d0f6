/** Divides the limits of a team over the live entries, without a coordinator. */

/** Value of a limit that means unlimited. */
export const NO_LIMIT = 0;

/** Token bucket of a team at one entry. */
export interface RateBucket {
  /** Tasks that may still be submitted; negative after a large job. */
  readonly tokens: number;
  readonly filledAtMs: number;
}

/** Decision on a submission under a rate limit. */
export interface RateDecision {
  readonly bucket: RateBucket;
  readonly isAdmitted: boolean;
  /** Retry delay in milliseconds; 0 if admitted. */
  readonly retryAfterMs: number;
}

/** Burst size, as the time in milliseconds that fills the bucket at the team's rate. */
const BURST_MS = 1000;

/**
 * Returns the share of a team's slots that one of `entries` entries may use.
 *
 * Each entry computes it alone from the list of live entries. Every entry gets
 * at least one slot, so that a team whose limit is below the number of entries
 * makes progress at whichever entry its jobs arrive; such a team may exceed its
 * limit by the number of entries less one.
 */
export function computeSlotShare(slotsAtMost: number, entries: number): number {
  if (slotsAtMost === NO_LIMIT) return Infinity;
  return Math.max(1, Math.floor(slotsAtMost / Math.max(1, entries)));
}

/** Creates a full bucket. */
export function createRateBucket(
  tasksPerSecond: number,
  nowMs: number,
): RateBucket {
  return {tokens: computeBurst(tasksPerSecond), filledAtMs: nowMs};
}

/**
 * Decides on a submission under this entry's share of a team's rate.
 *
 * A job is admitted while any token is left, and the bucket may become negative,
 * so that a job larger than the rate of a second can run. Later jobs wait until
 * the debt is refilled, which maintains the mean rate.
 */
export function decideRate(
  bucket: RateBucket,
  tasks: number,
  tasksPerSecondAtMost: number,
  entries: number,
  nowMs: number,
): RateDecision {
  if (tasksPerSecondAtMost === NO_LIMIT) {
    return {bucket, isAdmitted: true, retryAfterMs: 0};
  }
  const perSecond = tasksPerSecondAtMost / Math.max(1, entries);
  const filled = refreshBucket(bucket, perSecond, nowMs);
  if (filled.tokens > 0) {
    const charged = {...filled, tokens: filled.tokens - tasks};
    return {bucket: charged, isAdmitted: true, retryAfterMs: 0};
  }
  const retryAfterMs = Math.ceil(((1 - filled.tokens) * 1000) / perSecond);
  return {bucket: filled, isAdmitted: false, retryAfterMs};
}

function refreshBucket(
  bucket: RateBucket,
  tasksPerSecond: number,
  nowMs: number,
): RateBucket {
  const gained = (tasksPerSecond * (nowMs - bucket.filledAtMs)) / 1000;
  const tokens = Math.min(
    computeBurst(tasksPerSecond),
    bucket.tokens + Math.max(0, gained),
  );
  return {tokens, filledAtMs: nowMs};
}

function computeBurst(tasksPerSecond: number): number {
  return Math.max(1, (tasksPerSecond * BURST_MS) / 1000);
}
