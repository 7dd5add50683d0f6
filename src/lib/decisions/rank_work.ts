/** The order in which waiting jobs get room. */
import type {JobTiming} from './job_timing.js';

/** What the rank of a job rests on. */
export interface RankedWork {
  readonly timing: JobTiming;
}

/** How likely it is that a job's answer is in time if it begins now. */
export enum Feasibility {
  IN_TIME = 'in-time',
  LATE = 'late',
  /** So late that the answer has no worth to the caller any more. */
  WORTHLESS = 'useless',
}

/** Share by which a run may take longer than expected and still be in time. */
const RUN_MARGIN = 1.05;

/** Puts whole groups of jobs behind one another, in milliseconds. */
const GROUP_MS: Readonly<Record<Feasibility, number>> = {
  [Feasibility.IN_TIME]: 0,
  [Feasibility.LATE]: 1e6,
  [Feasibility.WORTHLESS]: 2e6,
};

/**
 * Judges a job's prospect.
 *
 * @param slowness Run time on the faster targets, against a typical one.
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
 * Ranks a job; the lowest goes first. Jobs that can be in time come by their
 * latest begin, then those that are late already, then those whose answer has
 * no worth any more. Pattern: after an outage a second's worth of late jobs
 * stands before the doors, and served first it makes every later job late.
 */
export function rankJob(
  job: RankedWork,
  nowMs: number,
  slowness: number,
): number {
  return rankByFeasibility(job, judgeFeasibility(job, nowMs, slowness));
}

/** Ranks a job whose prospect is known. */
export function rankByFeasibility(
  job: RankedWork,
  prospect: Feasibility,
): number {
  return job.timing.startByMs + GROUP_MS[prospect];
}
