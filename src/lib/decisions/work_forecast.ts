/**
 * Learns, queue by queue, how long the longest task of a job runs on the
 * typical target, from the caller's estimate and from how long the caller is
 * ready to wait: callers that expect longer work wait longer, and that often
 * tells more than a declared run time that is 40 % off.
 */

/** What a job tells about its work, in milliseconds. */
export interface DeclaredWork {
  /** Longest chain of steps by the caller's estimates. */
  readonly estimateMs: number;
  /** How long the caller waits from now on. */
  readonly deadlineMs: number;
}

/** What is expected of a job, in milliseconds. */
export interface ExpectedWork {
  /** Run time of its longest chain on a typical target. */
  readonly runMs: number;
  /**
   * Time since the caller first sent it; above 0 only where its remaining
   * deadline is far too short for the work that it declares.
   */
  readonly elapsedMs: number;
}

/** What was learned of a queue: normal equations of a weighted regression. */
export interface WorkForecast {
  readonly count: number;
  /** Upper triangle of the 3 x 3 matrix, row by row. */
  readonly matrix: readonly number[];
  readonly vector: readonly number[];
  /** Logarithm of run time over estimate, averaged. */
  readonly logRatio: number;
  /** Mean squared error of the regression and of the estimate alone, of logarithms. */
  readonly modelError: number;
  readonly estimateError: number;
}

/** The first column of the regression, in milliseconds, like the others. */
const CONSTANT_MS = 100;

/** Weight, in jobs, of the assumption that run time equals the estimate. */
const PRIOR_JOBS = 0.02;

/** Share of what was learned that each job leaves; about 200 jobs count. */
const KEPT_SHARE = 0.995;

/** Jobs after which the regression is used. */
const LEAST_JOBS = 12;

/** Least weight of one job in the averages. */
const LEAST_WEIGHT = 0.08;

/**
 * A forecast below this share of what the estimate alone tells is taken for a
 * deadline that has partly passed, since estimates are rarely so far off.
 */
const PASSED_SHARE = 0.4;

/** Shortest time in milliseconds between the attempts of a caller. */
const LEAST_ELAPSED_MS = 800;

/** Farthest that the regression may lead away from the estimate. */
const GREATEST_FACTOR = 5;

const LEAST_RUN_MS = 1;

/** A queue of which no job has ended. */
export const FIRST_WORK_FORECAST: WorkForecast = {
  count: 0,
  matrix: [0, 0, 0, 0, 0, 0],
  vector: [0, 0, 0],
  logRatio: 0,
  modelError: 0,
  estimateError: 0,
};

/** Learns from a job that ended: the time of its longest task on a typical target. */
export function recordWork(
  forecast: WorkForecast,
  work: DeclaredWork,
  observedMs: number,
): WorkForecast {
  const runMs = Math.max(LEAST_RUN_MS, observedMs);
  const [a, b, c] = listFeatures(work);
  // Relative errors count, so that short jobs are forecast as well as long ones.
  const weight = 1 / (runMs * runMs);
  const squares = [a * a, a * b, a * c, b * b, b * c, c * c];
  const count = forecast.count + 1;
  const share = Math.max(LEAST_WEIGHT, 1 / count);
  const updateAverage = (old: number, value: number) =>
    old + share * (value - old);
  const modelMs = Math.max(LEAST_RUN_MS, applyModel(forecast, work));
  const ratio = Math.log(runMs / Math.max(LEAST_RUN_MS, work.estimateMs));
  return {
    count,
    matrix: forecast.matrix.map(
      (value, at) => value * KEPT_SHARE + squares[at] * weight,
    ),
    vector: forecast.vector.map(
      (value, at) => value * KEPT_SHARE + [a, b, c][at] * runMs * weight,
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

/** Returns what to expect of a job. */
export function estimateWork(
  forecast: WorkForecast,
  work: DeclaredWork,
): ExpectedWork {
  const plainMs = Math.max(
    LEAST_RUN_MS,
    work.estimateMs * Math.exp(forecast.logRatio),
  );
  const isUseful =
    forecast.count >= LEAST_JOBS &&
    forecast.modelError < forecast.estimateError;
  if (!isUseful) return {runMs: plainMs, elapsedMs: 0};
  const modelMs = applyModel(forecast, work);
  if (modelMs < plainMs * PASSED_SHARE) {
    const slope = computeFactors(forecast)[1];
    const elapsedMs = slope > 0 ? (plainMs - modelMs) / slope : 0;
    const isPassed = elapsedMs >= LEAST_ELAPSED_MS;
    return {runMs: plainMs, elapsedMs: isPassed ? elapsedMs : 0};
  }
  return {runMs: Math.min(modelMs, plainMs * GREATEST_FACTOR), elapsedMs: 0};
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

/** Solves the normal equations by Cramer's rule; the prior keeps them regular. */
function computeFactors({matrix, vector}: WorkForecast): readonly number[] {
  const [a, b, c, d, e, f] = matrix;
  const rows = [
    [a + PRIOR_JOBS, b, c],
    [b, d + PRIOR_JOBS, e],
    [c, e, f + PRIOR_JOBS],
  ];
  const right = [vector[0], vector[1], vector[2] + PRIOR_JOBS];
  const whole = computeDeterminant(rows);
  return right.map(
    (_, column) =>
      computeDeterminant(
        rows.map((row, at) =>
          row.map((value, place) => (place === column ? right[at] : value)),
        ),
      ) / whole,
  );
}

function computeDeterminant(rows: readonly (readonly number[])[]): number {
  const [[a, b, c], [d, e, f], [g, h, i]] = rows;
  return a * (e * i - f * h) - b * (d * i - f * g) + c * (d * h - e * g);
}
