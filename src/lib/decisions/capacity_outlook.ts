/** Expects when the runs of a target end, and so when its capacity comes free. */
import type {CapacityStep} from '../core/work_frames.js';
import type {Resources} from '../core/work_job.js';

/** A run that occupies capacity of a target. */
export interface OccupyingRun {
  readonly need: Resources;
  /** Estimated run time in milliseconds on a target of average speed. */
  readonly estimateMs: number;
  /** Monotonic time in milliseconds at which it started or was ordered. */
  readonly startedAtMs: number;
  /** Progress in percent as last listed; 0 for none. */
  readonly percent: number;
  /** Monotonic time in milliseconds at which the progress last increased. */
  readonly advancedAtMs: number;
  /** Monotonic time in milliseconds at which its stop began; undefined without one. */
  readonly stoppingSinceMs: number | undefined;
}

/** When a run is expected to end, and what comes free then. */
export interface ExpectedEnd {
  /** Milliseconds from now. */
  readonly inMs: number;
  readonly need: Resources;
}

/**
 * Least progress in percent and least run time in milliseconds that tell the rest
 * of a run; below them, one list that is late changes the result by a factor.
 */
const MIN_PERCENT = 5;
const MIN_ELAPSED_MS = 50;

/**
 * Least remaining time of a run that has outrun its expectation, as a share of it:
 * a run that is just over it would otherwise be expected to end at once, time after
 * time.
 */
const OUTRUN_SHARE = 0.25;

/**
 * Least expected remaining time in milliseconds of a run that is being stopped. A stop
 * that takes longer is expected to take as long again: a target that answers nothing
 * would otherwise be announced to come free at once for as long as that lasts.
 */
const STOPPING_MS = 50;

/**
 * Returns the expected remaining time of a run in milliseconds. A run that has
 * outrun its expectation is expected to take as long again as it has outrun it.
 */
export function estimateRemaining(
  run: OccupyingRun,
  nowMs: number,
  slowness: number,
): number {
  if (run.stoppingSinceMs !== undefined) {
    return Math.max(STOPPING_MS, nowMs - run.stoppingSinceMs);
  }
  const elapsedMs = nowMs - run.startedAtMs;
  const totalMs = estimateTotal(run, slowness);
  if (elapsedMs < totalMs) return totalMs - elapsedMs;
  return Math.max(elapsedMs - totalMs, totalMs * OUTRUN_SHARE);
}

/** Estimates the whole run time from the progress, or else from the estimate. */
function estimateTotal(run: OccupyingRun, slowness: number): number {
  const progressMs = run.advancedAtMs - run.startedAtMs;
  const isMeasured = run.percent >= MIN_PERCENT && progressMs >= MIN_ELAPSED_MS;
  if (isMeasured) return (progressMs * 100) / Math.min(100, run.percent);
  return Math.max(1, run.estimateMs) * slowness;
}

/** Lists the expected ends of runs, the earliest first. */
export function listExpectedEnds(
  runs: readonly OccupyingRun[],
  nowMs: number,
  slowness: number,
): ExpectedEnd[] {
  return runs
    .map(run => ({
      inMs: estimateRemaining(run, nowMs, slowness),
      need: run.need,
    }))
    .sort((a, b) => a.inMs - b.inMs);
}

/** Resolution and length of an outlook in milliseconds. */
const STEP_MS = 25;
const HORIZON_MS = 800;

/**
 * Maximum number of steps of an outlook. Each is sent with each report: to each linked
 * entry once a period, and with the end of each run.
 */
const MAX_STEPS = 4;

/** What an outlook starts from. */
export interface OutlookStart {
  /** Average ratio of run time to estimate on the target. */
  readonly slowness: number;
  /** Free thousandths of a processor less those of queued orders; may be negative. */
  readonly freeMilli: number;
  /** Milliseconds in which nothing may start on the target whatever is free. */
  readonly closedMs?: number;
}

/**
 * Computes when capacity of a target comes free: at most four steps of cumulative
 * free processors, in steps of 25 ms up to 800 ms. Capacity is never announced
 * earlier than it is expected; a step is left out where all is owed to queued
 * orders. Runs whose end cannot be expected are to be left out by the caller.
 */
export function computeOutlook(
  runs: readonly OccupyingRun[],
  nowMs: number,
  {slowness, freeMilli, closedMs = 0}: OutlookStart,
): CapacityStep[] {
  const released = new Float64Array(HORIZON_MS / STEP_MS + 1);
  for (const run of runs) {
    const inMs = estimateRemaining(run, nowMs, slowness);
    if (inMs > HORIZON_MS) continue;
    const opensInMs = Math.max(inMs, closedMs, 1);
    const index = Math.ceil(opensInMs / STEP_MS);
    if (index < released.length) released[index] += run.need.cpuMilli;
  }
  const closedSteps = Math.ceil(closedMs / STEP_MS);
  const steps: CapacityStep[] = [];
  let milli = freeMilli;
  const freeNowMilli = closedMs > 0 ? 0 : Math.max(0, freeMilli);
  let announcedMilli = freeNowMilli;
  for (let index = 1; index < released.length; index += 1) {
    milli += released[index];
    if (index < closedSteps || milli <= announcedMilli) continue;
    steps.push([index * STEP_MS, milli]);
    announcedMilli = milli;
  }
  return limitSteps(steps, freeNowMilli);
}

/**
 * Removes the steps whose capacity is announced late at the least cost.
 *
 * @param freeNowMilli What is known to be free before the first step.
 */
function limitSteps(
  steps: CapacityStep[],
  freeNowMilli: number,
): CapacityStep[] {
  while (steps.length > MAX_STEPS) {
    let least = 0;
    let leastCost = Infinity;
    for (let index = 0; index < steps.length; index += 1) {
      const [inMs, milli] = steps[index];
      const beforeMilli = index > 0 ? steps[index - 1][1] : freeNowMilli;
      const nextMs = steps[index + 1]?.[0] ?? HORIZON_MS + STEP_MS;
      const cost = (milli - beforeMilli) * (nextMs - inMs);
      if (cost < leastCost) [least, leastCost] = [index, cost];
    }
    steps.splice(least, 1);
  }
  return steps;
}
