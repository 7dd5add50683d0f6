/** Learns how slow each target is from the run times of its tasks. */

/** Logarithms of observed over expected run time, averaged. */
export interface SlownessEstimate {
  /** Average over many tasks. */
  readonly slow: number;
  /** Average over the last few tasks, which shows a sudden change. */
  readonly quick: number;
  readonly count: number;
}

/** Weight, in tasks, of the assumption that a new target is of usual speed. */
const PRIOR_TASKS = 4;

/** Least weight of one task in the long average. */
const SLOW_WEIGHT = 0.01;

/** Weight of one task in the short average. */
const QUICK_WEIGHT = 0.15;

/** Difference of the averages at which the target's speed has changed. */
const CHANGE_THRESHOLD = Math.log(3);

/** A target that has not run anything. */
export const UNKNOWN_SLOWNESS: SlownessEstimate = {slow: 0, quick: 0, count: 0};

/** Learns from one task. */
export function recordRunTime(
  estimate: SlownessEstimate,
  runMs: number,
  expectedMs: number,
): SlownessEstimate {
  const ratio = Math.log(Math.max(1, runMs) / Math.max(1, expectedMs));
  const count = estimate.count + 1;
  const weight = Math.max(SLOW_WEIGHT, 1 / (count + PRIOR_TASKS));
  const slow = estimate.slow + weight * (ratio - estimate.slow);
  const quick = estimate.quick + QUICK_WEIGHT * (ratio - estimate.quick);
  const hasChanged = Math.abs(quick - slow) > CHANGE_THRESHOLD;
  return {slow: hasChanged ? quick : slow, quick, count};
}

/** Returns the run time at this target over the expected one. */
export function computeSlowness(estimate: SlownessEstimate): number {
  return Math.exp(estimate.slow);
}
