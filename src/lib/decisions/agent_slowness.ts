/** Estimates the slowness of each target from the run times of its tasks. */

/** Moving averages of the logarithm of observed over expected run time. */
export interface SlownessEstimate {
  /** Average over many tasks. */
  readonly longAverage: number;
  /** Average over the last few tasks, which detects a sudden change. */
  readonly shortAverage: number;
  readonly count: number;
}

/** Weight, in tasks, of the prior that a new target has the typical speed. */
const PRIOR_TASKS = 4;

/** Least weight of one task in the long average. */
const LONG_WEIGHT = 0.01;

/** Weight of one task in the short average. */
const SHORT_WEIGHT = 0.15;

/** Difference of the averages from which the target's speed counts as changed. */
const CHANGE_THRESHOLD = Math.log(4);

/** Number of tasks that the short average counts for after a change. */
const TASKS_AFTER_CHANGE = 6;

/** Standard deviation of the logarithm of one task's ratio. */
const RATIO_DEVIATION = 0.7;

/** Number of standard errors subtracted in the optimistic estimate. */
const OPTIMISM_ERRORS = 0.7;

/** Estimate for a target that has not run any task. */
export const UNKNOWN_SLOWNESS: SlownessEstimate = {
  longAverage: 0,
  shortAverage: 0,
  count: 0,
};

/** Updates the estimate with the run time of one task. */
export function recordRunTime(
  estimate: SlownessEstimate,
  runMs: number,
  expectedMs: number,
): SlownessEstimate {
  const ratio = Math.log(Math.max(1, runMs) / Math.max(1, expectedMs));
  const count = estimate.count + 1;
  const weight = Math.max(LONG_WEIGHT, 1 / (count + PRIOR_TASKS));
  const long = estimate.longAverage + weight * (ratio - estimate.longAverage);
  const short =
    estimate.shortAverage + SHORT_WEIGHT * (ratio - estimate.shortAverage);
  if (Math.abs(short - long) > CHANGE_THRESHOLD) {
    return {longAverage: short, shortAverage: short, count: TASKS_AFTER_CHANGE};
  }
  return {longAverage: long, shortAverage: short, count};
}

/** Returns the ratio of the run time at this target to the expected one. */
export function computeSlowness(estimate: SlownessEstimate): number {
  return Math.exp(estimate.longAverage);
}

/**
 * Returns a lower bound of the slowness.
 *
 * Otherwise a target that looked slow on a few tasks by chance would get no
 * further tasks and would count as slow for ever.
 */
export function computeOptimisticSlowness(estimate: SlownessEstimate): number {
  const error = RATIO_DEVIATION / Math.sqrt(estimate.count + PRIOR_TASKS);
  return Math.exp(estimate.longAverage - OPTIMISM_ERRORS * error);
}
