/** Estimates the speed of a target and detects stalled runs. */
import {RunState} from './held_run.js';
import type {HeldRun} from './held_run.js';

/** Least weight of the newest run in the average slowness of a target. */
const NEWEST_WEIGHT = 0.08;

/** Bounds of the ratio of run time to estimate. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 20;

/** Number of different jobs whose progress is needed for an estimate. */
const MIN_JOBS = 3;

/** Factor by which progress has to differ from the average to replace it. */
const MIN_CHANGE = 2;

/**
 * Idle time in milliseconds in which the estimated slowness of a target decays
 * to half; faults that make a target slow last for some seconds.
 */
const HALF_LIFE_MS = 1000;

/** Run time in milliseconds from which progress is used to estimate the speed. */
const MIN_ELAPSED_MS = 100;

/** Averages the ratio of run time to estimate; rough estimates need many samples. */
export class SlownessMeter {
  private logarithm = 0;
  private runs = 0;

  private constructor() {}

  /** Creates a meter that assumes a target of average speed. */
  static create(): SlownessMeter {
    return new SlownessMeter();
  }

  /** Geometric mean of the ratio of run time to estimate. */
  get factor(): number {
    return Math.round(Math.exp(this.logarithm) * 100) / 100;
  }

  /** Records the duration of a successful run. */
  record(durationMs: number, estimateMs: number): void {
    const ratio = durationMs / Math.max(1, estimateMs);
    const bounded = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, ratio));
    this.runs += 1;
    // The initial assumption counts as one run, so the first runs weigh most.
    const weight = Math.max(NEWEST_WEIGHT, 1 / (this.runs + 1));
    this.logarithm += weight * (Math.log(bounded) - this.logarithm);
  }

  /**
   * Records the progress of current runs, one for each job, since the estimates
   * of a job are wrong by the same factor. Otherwise a target that becomes six
   * times slower would look healthy until its runs end.
   */
  recordProgress(ratiosByJob: ReadonlyMap<string, number>): void {
    if (ratiosByJob.size < MIN_JOBS) return;
    const sorted = [...ratiosByJob.values()].sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)];
    const change = Math.log(median) - this.logarithm;
    if (Math.abs(change) < Math.log(MIN_CHANGE)) return;
    const bounded = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, median));
    this.logarithm = Math.log(bounded);
  }

  /**
   * Decays the estimate of a slow target while it is idle: without work, its
   * recovery would never be detected.
   */
  forgetSlowness(idleMs: number): void {
    if (this.logarithm > 0) this.logarithm *= 0.5 ** (idleMs / HALF_LIFE_MS);
  }

  /** Resets the meter for a new target. */
  reset(): void {
    this.logarithm = 0;
    this.runs = 0;
  }
}

/** Time in milliseconds without progress that is normal for any run. */
const STALL_FLOOR_MS = 150;

/** Share of the expected run time that may pass without progress. */
const STALL_SHARE = 0.15;

/** Returns whether a run made no progress for longer than is normal. */
export function isStalled(
  run: HeldRun,
  listedAtMs: number,
  slowness: number,
): boolean {
  if (run.state !== RunState.RUNNING) return false;
  const expectedMs = run.order.estimateMs * slowness;
  const limitMs = STALL_FLOOR_MS + expectedMs * STALL_SHARE;
  return listedAtMs - run.advancedAtMs > limitMs;
}

/**
 * Returns the ratio of run time to estimate implied by a run's progress, or
 * undefined if there is too little progress to estimate it.
 */
export function estimateRatio(
  run: HeldRun,
  listedAtMs: number,
): number | undefined {
  const elapsedMs = listedAtMs - run.acceptedAtMs;
  const isMeasurable =
    run.state === RunState.RUNNING &&
    elapsedMs >= MIN_ELAPSED_MS &&
    run.percent >= 1 &&
    run.percent < 100;
  if (!isMeasurable) return undefined;
  const expectedMs = Math.max(1, run.order.estimateMs) * (run.percent / 100);
  return elapsedMs / expectedMs;
}
