/** Learns, class by class, what declared run times are worth. */

/**
 * A running linear regression of the logarithm of the observed run time on
 * that of the declared one. Where declarations tell nothing, its slope goes to
 * 0 and the estimate to the class's own mean.
 */
export interface RunTimeEstimate {
  readonly count: number;
  readonly meanDeclared: number;
  readonly meanObserved: number;
  readonly variance: number;
  readonly covariance: number;
  /** Mean square of what the regression left unexplained. */
  readonly residual: number;
}

/** Expected run time in milliseconds of a task that declares none. */
export const UNDECLARED_MS = 300;

/** Weight, in tasks, of what is assumed of a class that is not known. */
const PRIOR_TASKS = 8;

/** Variance of log declarations that the prior assumes. */
const PRIOR_VARIANCE = 0.5;

/** Slope that the prior assumes: declarations are worth something. */
const PRIOR_SLOPE = 0.5;

/** Least weight of one task, so that a class whose tasks change is learnt anew. */
const LEAST_WEIGHT = 0.005;

/** Largest factor by which the mean exceeds the median in an estimate. */
const MEAN_FACTOR_LIMIT = 2;

/** Run times in milliseconds that estimates stay between. */
const SHORTEST_MS = 1;
const LONGEST_MS = 600_000;

/** A class of which no task has ended. */
export const FIRST_ESTIMATE: RunTimeEstimate = {
  count: 0,
  meanDeclared: Math.log(UNDECLARED_MS),
  meanObserved: Math.log(UNDECLARED_MS),
  variance: PRIOR_VARIANCE,
  covariance: PRIOR_SLOPE * PRIOR_VARIANCE,
  residual: 0,
};

/** Learns from one task that ended. `declaredMs` is 0 if none was declared. */
export function recordObservation(
  estimate: RunTimeEstimate,
  declaredMs: number,
  observedMs: number,
): RunTimeEstimate {
  const x = toLog(declaredMs || UNDECLARED_MS);
  const y = toLog(observedMs);
  const count = estimate.count + 1;
  const weight = Math.max(LEAST_WEIGHT, 1 / (count + PRIOR_TASKS));
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

/** Returns the mean run time to expect of a task that declares `declaredMs`. */
export function estimateRunMs(
  estimate: RunTimeEstimate,
  declaredMs: number,
): number {
  const x = toLog(declaredMs || UNDECLARED_MS);
  const median = Math.exp(estimateLog(estimate, x));
  const factor = Math.min(MEAN_FACTOR_LIMIT, Math.exp(estimate.residual / 2));
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
  return Math.min(LONGEST_MS, Math.max(SHORTEST_MS, milliseconds));
}
