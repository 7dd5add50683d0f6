/** The order in which waiting jobs are placed. */
import type {JobTiming} from './job_timing.js';

/** Inputs of a job's rank. */
export interface RankedWork {
  readonly timing: JobTiming;
}

/** Deadline feasibility: whether a job that starts now can meet its objective. */
export enum Feasibility {
  IN_TIME = 'in-time',
  LATE = 'late',
  /** Too late for the answer to be of any value to the caller. */
  WORTHLESS = 'useless',
}

/** Safety factor on the expected run time. */
const RUN_MARGIN = 1.05;

/** Rank offsets in milliseconds that keep the groups of jobs apart. */
const GROUP_MS: Readonly<Record<Feasibility, number>> = {
  [Feasibility.IN_TIME]: 0,
  [Feasibility.LATE]: 1e6,
  [Feasibility.WORTHLESS]: 2e6,
};

/**
 * Returns a job's deadline feasibility.
 *
 * @param slowness Ratio of the run time on the faster targets to that on a
 *     typical one.
 */
export function judgeFeasibility(
  {timing}: RankedWork,
  nowMs: number,
  slowness: number,
): Feasibility {
  const endsAtMs = nowMs + timing.criticalPathMs * slowness * RUN_MARGIN;
  if (endsAtMs <= timing.sentAtMs + timing.objectiveMs) {
    return Feasibility.IN_TIME;
  }
  return nowMs + timing.criticalPathMs > timing.worthlessAtMs
    ? Feasibility.WORTHLESS
    : Feasibility.LATE;
}

/**
 * Ranks a job; the lowest rank goes first. Jobs that can be in time come first,
 * by their latest start, then late ones, then those whose answer is worthless.
 * After an outage, the late jobs of a whole second arrive together; served first,
 * they would make every later job late.
 */
export function rankJob(
  job: RankedWork,
  nowMs: number,
  slowness: number,
): number {
  return rankByFeasibility(job, judgeFeasibility(job, nowMs, slowness));
}

/** Ranks a job whose feasibility is known. */
export function rankByFeasibility(
  job: RankedWork,
  feasibility: Feasibility,
): number {
  return job.timing.startByMs + GROUP_MS[feasibility];
}
