/**
 * Estimates the probability that a job was sent before, from the time that its
 * caller still waits. Callers that repeat a request send it with the rest of
 * their patience, which then tells of a shorter run than the estimate does.
 */

/** What a job declares, as its queue's forecast reads it. */
export interface RepeatEvidence {
  /** Run time by the estimate, corrected by the mean error of estimates. */
  readonly correctedMs: number;
  /** Run time that the remaining patience tells of; 0 or less if it tells of none. */
  readonly modelMs: number;
  /** Time since the first attempt that would explain the difference of the two. */
  readonly elapsedMs: number;
  /** Change of the modelled run time for each millisecond of patience. */
  readonly slope: number;
  /** Mean squared errors, in logarithms, of the estimate and of the model. */
  readonly estimateError: number;
  readonly modelError: number;
}

/** Jobs that came lately; older ones count less. */
export interface RecentRepeats {
  readonly jobs: number;
  /** Those of them that were repeats beyond doubt. */
  readonly repeats: number;
  readonly updatedAtMs: number;
  /** Since when the share of repeats has been above that of a wave; `Infinity` if it is not. */
  readonly waveSinceMs: number;
}

/** Share of repeats while nothing is wrong: a caller seldom has a reason to repeat. */
export const CALM_SHARE = 0.005;

/** Probability above which a job counts as repeated: the more likely of the two. */
const LIKELY = 0.5;

/** Shortest time in milliseconds between two attempts of a caller. */
const MIN_ELAPSED_MS = 800;

/**
 * Mean time in milliseconds, beyond the shortest, since the first attempt of a
 * repeat. Callers come again 1.3 s after a connection failed, some of them twice.
 */
const MEAN_ELAPSED_MS = 2000;

/**
 * Least variance of the log ratio. The moving errors of some 24 jobs can be
 * close to 0 by chance, which would make any small difference a proof.
 */
const MIN_VARIANCE = 0.02;

/** Least run time in milliseconds whose logarithm is taken. */
const MIN_RUN_MS = 1;

/** Time in milliseconds after which a job counts 1/e in the share of repeats. */
const FADING_MS = 2000;

/**
 * Number of first attempts assumed in the share of repeats, so that the first
 * job of an idle entry does not make it 1.
 */
const ASSUMED_FIRST_ATTEMPTS = 10;

/**
 * Share of repeats beyond doubt above which many callers come again at once, and
 * some of their jobs are not recognized.
 */
const WAVE_SHARE = 0.05;

/**
 * Time in milliseconds after which a high share of repeats is no wave any more:
 * callers come again for some seconds after an outage. What lasts longer is a
 * change of the callers, which the forecasts have to learn.
 */
const MAX_WAVE_MS = 10_000;

/** Share of repeats of an entry that has received no job yet. */
export const NO_RECENT_REPEATS: RecentRepeats = {
  jobs: 0,
  repeats: 0,
  updatedAtMs: 0,
  waveSinceMs: Infinity,
};

/** Returns whether the time that has passed is long enough for a second attempt. */
export function hasTimeToRepeat(elapsedMs: number): boolean {
  return elapsedMs >= MIN_ELAPSED_MS;
}

/**
 * Computes the probability that a job is a repeat, by Bayes' theorem.
 *
 * The logarithm of the ratio of both run times is normal for a first attempt,
 * with the variance of both errors. For a repeat, the patience is less by the
 * time gone, whose density is exponential from the shortest time on.
 *
 * @param share Share of repeats among the jobs of this time.
 */
export function computeRepeatProbability(
  evidence: RepeatEvidence,
  share: number,
): number {
  const {correctedMs, elapsedMs, slope, estimateError, modelError} = evidence;
  if (slope <= 0 || !hasTimeToRepeat(elapsedMs)) return 0;
  const modelMs = Math.max(MIN_RUN_MS, evidence.modelMs);
  const variance = Math.max(MIN_VARIANCE, estimateError + modelError);
  const logRatio = Math.log(correctedMs / modelMs);
  // Both are logarithms of densities of the modelled run time in milliseconds.
  const firstDensity =
    -(logRatio ** 2) / (2 * variance) -
    Math.log(Math.sqrt(2 * Math.PI * variance) * modelMs);
  const repeatDensity =
    -(elapsedMs - MIN_ELAPSED_MS) / MEAN_ELAPSED_MS -
    Math.log(MEAN_ELAPSED_MS * slope);
  const logOdds = Math.log(share / (1 - share)) + repeatDensity - firstDensity;
  return 1 / (1 + Math.exp(-logOdds));
}

/** Returns whether a job is more likely a repeat than a first attempt. */
export function isLikelyRepeat(
  evidence: RepeatEvidence,
  share: number,
): boolean {
  return computeRepeatProbability(evidence, share) > LIKELY;
}

/**
 * Returns whether a job is a repeat beyond doubt: its patience left is below
 * that of a first attempt of the queue with the shortest run, and a repeat is
 * likely even in calm.
 */
export function isCertainRepeat(evidence: RepeatEvidence): boolean {
  return evidence.modelMs <= 0 && isLikelyRepeat(evidence, CALM_SHARE);
}

/**
 * Returns whether a completed job was a repeat, now that its run time is known: it
 * ran far longer than its patience left told. Its estimate is of no account then,
 * so that forecasts also learn from first attempts whose estimate was far too high.
 */
export function isRepeatInHindsight(
  evidence: RepeatEvidence,
  observedMs: number,
): boolean {
  const {modelMs, slope} = evidence;
  const elapsedMs = slope > 0 ? (observedMs - modelMs) / slope : 0;
  return isLikelyRepeat(
    {...evidence, correctedMs: observedMs, elapsedMs, estimateError: 0},
    CALM_SHARE,
  );
}

/** Updates the recent repeats with a job that has come. */
export function recordArrival(
  recent: RecentRepeats,
  isCertain: boolean,
  nowMs: number,
): RecentRepeats {
  const factor = computeFading(recent, nowMs);
  const updated = {
    jobs: recent.jobs * factor + 1,
    repeats: recent.repeats * factor + (isCertain ? 1 : 0),
    updatedAtMs: nowMs,
    waveSinceMs: Math.min(recent.waveSinceMs, nowMs),
  };
  return estimateRepeatShare(updated, nowMs) > WAVE_SHARE
    ? updated
    : {...updated, waveSinceMs: Infinity};
}

/** Returns whether many callers were coming again as of the latest job. */
export function isRepeatWave({
  updatedAtMs,
  waveSinceMs,
}: RecentRepeats): boolean {
  return updatedAtMs >= waveSinceMs && updatedAtMs - waveSinceMs < MAX_WAVE_MS;
}

/** Estimates the share of repeats among the jobs that come now. */
export function estimateRepeatShare(
  recent: RecentRepeats,
  nowMs: number,
): number {
  const factor = computeFading(recent, nowMs);
  const {jobs, repeats} = recent;
  const share = (repeats * factor) / (jobs * factor + ASSUMED_FIRST_ATTEMPTS);
  return Math.max(CALM_SHARE, share);
}

function computeFading({updatedAtMs}: RecentRepeats, nowMs: number): number {
  return Math.exp(-Math.max(0, nowMs - updatedAtMs) / FADING_MS);
}
