/** Learns how slow each target is from the run times of its tasks. */

/** Logarithms of observed over expected run time, averaged. */
export interface SlownessEstimate {
  /** Average over many tasks. */
  readonly longAverage: number;
  /** Average over the last few tasks, which shows a sudden change. */
  readonly shortAverage: number;
  readonly count: number;
}

/** Weight, in tasks, of the assumption that a new target is of usual speed. */
const PRIOR_TASKS = 4;

/** Least weight of one task in the long average. */
const SLOW_WEIGHT = 0.01;

/** Weight of one task in the short average. */
const QUICK_WEIGHT = 0.15;

/** Difference of the averages at which the target's speed has changed. */
const CHANGE_THRESHOLD = Math.log(4);

/** Tasks that the short average stands for after a change. */
const TASKS_AFTER_CHANGE = 6;

/** Standard deviation of the logarithm of one task's ratio. */
const RATIO_DEVIATION = 0.7;

/** Standard errors by which a target is taken for faster than it looks. */
const OPTIMISM = 0.7;

/** A target that has not run anything. */
export const UNKNOWN_SLOWNESS: SlownessEstimate = {
  longAverage: 0,
  shortAverage: 0,
  count: 0,
};

/** Learns from one task. */
export function recordRunTime(
  estimate: SlownessEstimate,
  runMs: number,
  expectedMs: number,
): SlownessEstimate {
  const ratio = Math.log(Math.max(1, runMs) / Math.max(1, expectedMs));
  const count = estimate.count + 1;
  const weight = Math.max(SLOW_WEIGHT, 1 / (count + PRIOR_TASKS));
  const slow = estimate.longAverage + weight * (ratio - estimate.longAverage);
  const quick =
    estimate.shortAverage + QUICK_WEIGHT * (ratio - estimate.shortAverage);
  if (Math.abs(quick - slow) > CHANGE_THRESHOLD) {
    return {longAverage: quick, shortAverage: quick, count: TASKS_AFTER_CHANGE};
  }
  return {longAverage: slow, shortAverage: quick, count};
}

/** Returns the run time at this target over the expected one. */
export function computeSlowness(estimate: SlownessEstimate): number {
  return Math.exp(estimate.longAverage);
}

/**
 * Returns the slowness as far as it is certain.
 *
 * A target that looked slow on a few tasks by chance would otherwise get no
 * more of them, and be held for slow for ever.
 */
export function computeOptimisticSlowness(estimate: SlownessEstimate): number {
  const error = RATIO_DEVIATION / Math.sqrt(estimate.count + PRIOR_TASKS);
  return Math.exp(estimate.longAverage - OPTIMISM * error);
}
