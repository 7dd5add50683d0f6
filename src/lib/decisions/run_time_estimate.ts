/** Corrects declared run times of a task class by the observed ones. */

/**
 * Running linear regression of the logarithm of the observed run time on that
 * of the declared one. If declarations are uninformative, the slope goes to 0
 * and the estimate to the mean of the class.
 */
export interface RunTimeEstimate {
  readonly count: number;
  readonly meanDeclared: number;
  readonly meanObserved: number;
  readonly variance: number;
  readonly covariance: number;
  /** Mean squared residual of the regression. */
  readonly residual: number;
}

/** Expected run time in milliseconds of a task that declares none. */
export const UNDECLARED_MS = 300;

/** Weight, in tasks, of the prior for an unknown class. */
const PRIOR_TASKS = 8;

/** Variance of the logarithm of declarations in the prior. */
const PRIOR_VARIANCE = 0.5;

/** Slope of the prior, which assumes that declarations are partly informative. */
const PRIOR_SLOPE = 0.5;

/** Least weight of one task, so that the estimate follows a class that changes. */
const MIN_WEIGHT = 0.005;

/** Largest factor of the mean over the median in an estimate. */
const MAX_MEAN_FACTOR = 2;

/** Bounds of estimates in milliseconds. */
const MIN_RUN_MS = 1;
const MAX_RUN_MS = 600_000;

/** Estimate for a class without ended tasks. */
export const FIRST_ESTIMATE: RunTimeEstimate = {
  count: 0,
  meanDeclared: Math.log(UNDECLARED_MS),
  meanObserved: Math.log(UNDECLARED_MS),
  variance: PRIOR_VARIANCE,
  covariance: PRIOR_SLOPE * PRIOR_VARIANCE,
  residual: 0,
};

/** Updates the estimate with an ended task; `declaredMs` is 0 if none was declared. */
export function recordObservation(
  estimate: RunTimeEstimate,
  declaredMs: number,
  observedMs: number,
): RunTimeEstimate {
  const x = toLog(declaredMs || UNDECLARED_MS);
  const y = toLog(observedMs);
  const count = estimate.count + 1;
  const weight = Math.max(MIN_WEIGHT, 1 / (count + PRIOR_TASKS));
  const dx = x - estimate.meanDeclared;
  const dy = y - estimate.meanObserved;
  const error = y - estimateLog(estimate, x);
  return {
    count,
    meanDeclared: estimate.meanDeclared + weight * dx,
    meanObserved: estimate.meanObserved + weight * dy,
    variance: (1 - weight) * (estimate.variance + weight * dx * dx),
    covariance: (1 - weight) * (estimate.covariance + weight * dx * dy),
    residual: estimate.residual + weight * (error * error - estimate.residual),
  };
}

/** Returns the expected run time in milliseconds of a task that declares `declaredMs`. */
export function estimateRunMs(
  estimate: RunTimeEstimate,
  declaredMs: number,
): number {
  const x = toLog(declaredMs || UNDECLARED_MS);
  const median = Math.exp(estimateLog(estimate, x));
  const factor = Math.min(MAX_MEAN_FACTOR, Math.exp(estimate.residual / 2));
  return limitRange(median * factor);
}

function estimateLog(estimate: RunTimeEstimate, x: number): number {
  const slope = estimate.covariance / Math.max(1e-9, estimate.variance);
  const bounded = Math.min(1, Math.max(0, slope));
  return estimate.meanObserved + bounded * (x - estimate.meanDeclared);
}

function toLog(milliseconds: number): number {
  return Math.log(limitRange(milliseconds));
}

function limitRange(milliseconds: number): number {
  return Math.min(MAX_RUN_MS, Math.max(MIN_RUN_MS, milliseconds));
}
