/**
 * Forecasts, for each queue, how long the critical path of a job runs on a typical
 * target, by regression on the caller's estimate and deadline. Callers that expect
 * longer work wait longer, so the deadline often predicts the run time better than
 * a declared run time that is 40 % off.
 */

import {hasTimeToRepeat} from './repeat_likelihood.js';
import type {RepeatEvidence} from './repeat_likelihood.js';

/** What the caller of a job declares about its work, in milliseconds. */
export interface DeclaredWork {
  /** Length of the critical path by the caller's estimates. */
  readonly estimateMs: number;
  /** Remaining time that the caller waits. */
  readonly deadlineMs: number;
}

/** Forecast of a job, in milliseconds. */
export interface ExpectedWork {
  /** Run time of its critical path on a typical target. */
  readonly runMs: number;
  /**
   * Time since the caller first sent the job; above 0 only if the job counts as
   * repeated, and its remaining deadline is far too short for the declared work.
   */
  readonly elapsedMs: number;
  /**
   * Whether the job may be a repeat, also if it counts as a first attempt. An
   * earlier attempt may have run, so it is never said not to have run.
   */
  readonly mayBeRepeat: boolean;
}

/** What varies between deployments in the forecast of a job. */
export interface ForecastRules {
  /** Decides whether a job that may be a repeat counts as one. */
  readonly isRepeat: (evidence: RepeatEvidence) => boolean;
  /** Returns the largest factor by which the regression may exceed the corrected estimate. */
  readonly limitFactor: (forecast: WorkForecast) => number;
}

/** Model of a queue: normal equations of a weighted linear regression. */
export interface WorkForecast {
  readonly count: number;
  /** Upper triangle of the 3 x 3 matrix, row by row. */
  readonly matrix: readonly number[];
  readonly vector: readonly number[];
  /** Average logarithm of the ratio of run time to estimate. */
  readonly logRatio: number;
  /** Mean squared errors, in logarithms, of the regression and of the estimate alone. */
  readonly modelError: number;
  readonly estimateError: number;
}

/** Constant feature of the regression, in milliseconds like the other features. */
const CONSTANT_MS = 100;

/** Weight, in jobs, of the prior that the run time equals the estimate. */
const PRIOR_JOBS = 0.02;

/** Decay factor of the sums for each job; about 200 jobs count. */
const DECAY_FACTOR = 0.995;

/** Number of jobs from which the regression is used. */
const MIN_JOBS = 12;

/** Least weight of one job in the moving averages. */
const MIN_WEIGHT = 0.08;

/**
 * A forecast below this share of the one from the estimate alone may come from a
 * deadline that has partly passed, since estimates are rarely so far off.
 */
const PASSED_DEADLINE_SHARE = 0.4;

/** Largest factor by which the regression may exceed the corrected estimate. */
const MAX_FACTOR = 5;

/**
 * The same where the regression is much better than the estimate: tasks that run
 * seven times as long as usual are told by the deadline alone.
 */
const MAX_FACTOR_OF_GOOD_MODEL = 10;

/** Share of the estimate's error below which the regression is much better. */
const GOOD_MODEL_SHARE = 0.25;

const MIN_RUN_MS = 1;

/** Rules under which each job that may be a repeat counts as one. */
export const PLAIN_FORECAST_RULES: ForecastRules = {
  isRepeat: () => true,
  limitFactor: () => MAX_FACTOR,
};

/** Returns the largest factor over the corrected estimate, by the quality of the model. */
export function limitFactorByErrors({
  modelError,
  estimateError,
}: WorkForecast): number {
  return modelError < estimateError * GOOD_MODEL_SHARE
    ? MAX_FACTOR_OF_GOOD_MODEL
    : MAX_FACTOR;
}

/** Model of a queue without ended jobs. */
export const FIRST_WORK_FORECAST: WorkForecast = {
  count: 0,
  matrix: [0, 0, 0, 0, 0, 0],
  vector: [0, 0, 0],
  logRatio: 0,
  modelError: 0,
  estimateError: 0,
};

/**
 * Updates the model with the run time of a job's longest task on a typical target.
 * Suitable for jobs of one step, whose critical path is their longest task.
 */
export function recordWork(
  forecast: WorkForecast,
  work: DeclaredWork,
  observedMs: number,
): WorkForecast {
  const runMs = Math.max(MIN_RUN_MS, observedMs);
  const [a, b, c] = listFeatures(work);
  // Weighting by relative error makes forecasts of short jobs as good as of long ones.
  const weight = 1 / (runMs * runMs);
  const squares = [a * a, a * b, a * c, b * b, b * c, c * c];
  const count = forecast.count + 1;
  const share = Math.max(MIN_WEIGHT, 1 / count);
  const updateAverage = (old: number, value: number) =>
    old + share * (value - old);
  const modelMs = Math.max(MIN_RUN_MS, applyModel(forecast, work));
  const ratio = Math.log(runMs / Math.max(MIN_RUN_MS, work.estimateMs));
  return {
    count,
    matrix: forecast.matrix.map(
      (value, at) => value * DECAY_FACTOR + squares[at] * weight,
    ),
    vector: forecast.vector.map(
      (value, at) => value * DECAY_FACTOR + [a, b, c][at] * runMs * weight,
    ),
    logRatio: updateAverage(forecast.logRatio, ratio),
    modelError: updateAverage(
      forecast.modelError,
      Math.log(runMs / modelMs) ** 2,
    ),
    estimateError: updateAverage(
      forecast.estimateError,
      (ratio - forecast.logRatio) ** 2,
    ),
  };
}

/** Forecasts a job. */
export function estimateWork(
  forecast: WorkForecast,
  work: DeclaredWork,
  rules: ForecastRules = PLAIN_FORECAST_RULES,
): ExpectedWork {
  const correctedMs = computeCorrectedMs(forecast, work);
  const first = {elapsedMs: 0, mayBeRepeat: false};
  const modelMs = computeModelledRun(forecast, work);
  if (modelMs === undefined) return {runMs: correctedMs, ...first};
  const evidence = findRepeatEvidence(forecast, work);
  if (evidence !== undefined) {
    const elapsedMs = rules.isRepeat(evidence) ? evidence.elapsedMs : 0;
    return {runMs: correctedMs, elapsedMs, mayBeRepeat: true};
  }
  // The patience left is too short for the estimate, but not by a time after
  // which a caller comes again.
  if (modelMs < correctedMs * PASSED_DEADLINE_SHARE) {
    return {runMs: correctedMs, ...first};
  }
  const maxMs = correctedMs * rules.limitFactor(forecast);
  return {runMs: Math.min(modelMs, maxMs), ...first};
}

/** Returns the evidence that a job may be a repeat, or undefined if it is not one. */
export function findRepeatEvidence(
  forecast: WorkForecast,
  work: DeclaredWork,
): RepeatEvidence | undefined {
  const evidence = findShortPatience(forecast, work);
  const mayBeRepeat =
    evidence !== undefined && hasTimeToRepeat(evidence.elapsedMs);
  return mayBeRepeat ? evidence : undefined;
}

/**
 * Returns the evidence of a job whose patience left is far too short for its
 * estimate, or undefined if it is not.
 */
export function findShortPatience(
  forecast: WorkForecast,
  work: DeclaredWork,
): RepeatEvidence | undefined {
  const modelMs = computeModelledRun(forecast, work);
  if (modelMs === undefined) return undefined;
  const correctedMs = computeCorrectedMs(forecast, work);
  if (modelMs >= correctedMs * PASSED_DEADLINE_SHARE) return undefined;
  const slope = computeFactors(forecast)[1];
  const elapsedMs = slope > 0 ? (correctedMs - modelMs) / slope : 0;
  const {estimateError, modelError} = forecast;
  return {correctedMs, modelMs, elapsedMs, slope, estimateError, modelError};
}

/** Returns the run time by the regression, or undefined if the estimate alone is as good. */
export function computeModelledRun(
  forecast: WorkForecast,
  work: DeclaredWork,
): number | undefined {
  return isUseful(forecast) ? applyModel(forecast, work) : undefined;
}

function isUseful({count, modelError, estimateError}: WorkForecast): boolean {
  return count >= MIN_JOBS && modelError < estimateError;
}

function computeCorrectedMs(
  {logRatio}: WorkForecast,
  {estimateMs}: DeclaredWork,
): number {
  return Math.max(MIN_RUN_MS, estimateMs * Math.exp(logRatio));
}

function listFeatures(work: DeclaredWork): [number, number, number] {
  return [CONSTANT_MS, work.deadlineMs, work.estimateMs];
}

function applyModel(forecast: WorkForecast, work: DeclaredWork): number {
  const factors = computeFactors(forecast);
  return listFeatures(work).reduce(
    (sum, feature, at) => sum + feature * factors[at],
    0,
  );
}

/** Solves the normal equations by Cramer's rule; the prior keeps them non-singular. */
function computeFactors({matrix, vector}: WorkForecast): readonly number[] {
  const [a, b, c, d, e, f] = matrix;
  const rows = [
    [a + PRIOR_JOBS, b, c],
    [b, d + PRIOR_JOBS, e],
    [c, e, f + PRIOR_JOBS],
  ];
  const right = [vector[0], vector[1], vector[2] + PRIOR_JOBS];
  const determinant = computeDeterminant(rows);
  return right.map(
    (_, column) =>
      computeDeterminant(
        rows.map((row, at) =>
          row.map((value, place) => (place === column ? right[at] : value)),
        ),
      ) / determinant,
  );
}

function computeDeterminant(rows: readonly (readonly number[])[]): number {
  const [[a, b, c], [d, e, f], [g, h, i]] = rows;
  return a * (e * i - f * h) - b * (d * i - f * g) + c * (d * h - e * g);
}
