/** The order in which waiting jobs get room. */
import type {JobTiming} from './job_timing.js';

/** What the rank of a job rests on. */
export interface RankedWork {
  readonly timing: JobTiming;
  /** Tasks that are not done, and all tasks. */
  readonly left: number;
  readonly tasks: readonly unknown[];
}

/** Puts whole groups of jobs behind one another, in milliseconds. */
const GROUP_MS = 1e7;

/**
 * Ranks a job; the lowest goes first. Jobs that can be in time come by their
 * latest begin, then those that are late already, then those whose answer has
 * no worth any more.
 */
export function rankJob(job: RankedWork, nowMs: number): number {
  const {timing} = job;
  const {startByMs} = timing;
  if (nowMs <= startByMs) return startByMs;
  const isUseless = nowMs + timing.chainMs > timing.uselessAtMs;
  return startByMs + (isUseless ? 2 : 1) * GROUP_MS;
}
