/** Divides the limits of a team over the live entries, without a coordinator. */

/** Value of a limit that does not limit. */
export const NO_LIMIT = 0;

/** Tokens of a team at one entry. */
export interface RateBucket {
  /** Tasks that may still be submitted; negative after a large job. */
  readonly tokens: number;
  readonly filledAtMs: number;
}

/** Answer to a submission under a rate limit. */
export interface RateDecision {
  readonly bucket: RateBucket;
  readonly isAdmitted: boolean;
  /** Time until a submission has a chance again; 0 if admitted. */
  readonly retryAfterMs: number;
}

/** Time in milliseconds of unused rate that a team may save up. */
const BURST_MS = 1000;

/**
 * Returns the part of a team's slots that one of `entries` entries may use.
 *
 * Each entry works it out alone from the list of live entries. Every entry
 * gets at least one slot, so that a team whose limit is below the number of
 * entries makes progress wherever its jobs come in; such a team may exceed its
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
 * Decides on a submission under this entry's part of a team's rate.
 *
 * A job is admitted while any token is left and may leave a debt, so that a
 * job larger than the rate of a second can run; the debt is waited out by the
 * jobs after it, which keeps the mean rate.
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
    const rest = {...filled, tokens: filled.tokens - tasks};
    return {bucket: rest, isAdmitted: true, retryAfterMs: 0};
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
