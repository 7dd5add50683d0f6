/** How fast runs get on, and which of them stand still. */
import {RunState} from './held_run.js';
import type {HeldRun} from './held_run.js';

/** Weight of the newest run in the average of a target's slowness. */
const NEWEST_WEIGHT = 0.08;

/** Runs that count as average before the first one has ended. */
const LEAST_FACTOR = 0.2;
const GREATEST_FACTOR = 20;

/** Jobs of which runs must tell the same before it counts. */
const LEAST_JOBS = 3;

/** Factor by which progress must differ from the average to replace it. */
const LEAST_CHANGE = 2;

/**
 * Time in milliseconds without work in which the opinion of a slow target fades
 * to half; faults of this kind last some seconds.
 */
const HALF_LIFE_MS = 1000;

/** Time in milliseconds after which the progress of a run tells its speed. */
const LEAST_ELAPSED_MS = 100;

/** Averages run time over estimate; estimates are rough, so many are needed. */
export class SlownessMeter {
  private logarithm = 0;
  private runs = 0;

  private constructor() {}

  /** Creates a meter that takes the target for an average one. */
  static create(): SlownessMeter {
    return new SlownessMeter();
  }

  /** Run time over estimate, averaged geometrically. */
  get factor(): number {
    return Math.round(Math.exp(this.logarithm) * 100) / 100;
  }

  /** Takes the time of a run that was done. */
  record(durationMs: number, estimateMs: number): void {
    const ratio = durationMs / Math.max(1, estimateMs);
    const bounded = Math.min(GREATEST_FACTOR, Math.max(LEAST_FACTOR, ratio));
    this.runs += 1;
    // The assumed average target counts as one run, so the first runs tell most.
    const weight = Math.max(NEWEST_WEIGHT, 1 / (this.runs + 1));
    this.logarithm += weight * (Math.log(bounded) - this.logarithm);
  }

  /**
   * Takes what the progress of runs tells before any of them has ended, one of
   * each job, since the estimates of a job are wrong by the same factor. A
   * target that turns six times slower would otherwise look well for as long
   * as its runs last.
   */
  recordProgress(ratiosByJob: ReadonlyMap<string, number>): void {
    if (ratiosByJob.size < LEAST_JOBS) return;
    const sorted = [...ratiosByJob.values()].sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)];
    const change = Math.log(median) - this.logarithm;
    if (Math.abs(change) < Math.log(LEAST_CHANGE)) return;
    const bounded = Math.min(GREATEST_FACTOR, Math.max(LEAST_FACTOR, median));
    this.logarithm = Math.log(bounded);
  }

  /**
   * Lets an old opinion of a slow target fade: without work it would never be
   * found to be sound again.
   */
  forgetSlowness(idleMs: number): void {
    if (this.logarithm > 0) this.logarithm *= 0.5 ** (idleMs / HALF_LIFE_MS);
  }

  /** Forgets everything: another target has begun. */
  reset(): void {
    this.logarithm = 0;
    this.runs = 0;
  }
}

/** Time in milliseconds without progress that is ordinary for any run. */
const STALL_FLOOR_MS = 150;

/** Share of the expected run time without progress that is ordinary. */
const STALL_SHARE = 0.15;

/** Tells whether a run has stood still between two lists that are far apart. */
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
 * Returns run time over estimate as a run's progress tells it, or undefined
 * while that is too early to tell.
 */
export function estimateRatio(
  run: HeldRun,
  listedAtMs: number,
): number | undefined {
  const elapsedMs = listedAtMs - run.acceptedAtMs;
  const isTelling =
    run.state === RunState.RUNNING &&
    elapsedMs >= LEAST_ELAPSED_MS &&
    run.percent >= 1 &&
    run.percent < 100;
  if (!isTelling) return undefined;
  const expectedMs = Math.max(1, run.order.estimateMs) * (run.percent / 100);
  return elapsedMs / expectedMs;
}
