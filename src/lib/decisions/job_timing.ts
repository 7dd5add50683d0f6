/** When a job should be done, and when its tasks must begin for that. */
import type {QueueRule} from '../core/fleet_configuration.js';
import type {StepSpec} from '../core/work_job.js';

/** The times of a job, in milliseconds of the entry's monotonic clock. */
export interface JobTiming {
  readonly receivedAtMs: number;
  /** Length of the objective. */
  readonly objectiveMs: number;
  /** Work of the longest chain of steps by the caller's estimates. */
  readonly chainMs: number;
  /** Latest begin that still meets the objective on an average target. */
  readonly startByMs: number;
  /** After this the answer is worth nothing to the caller. */
  readonly uselessAtMs: number;
  /** When the caller stops waiting. */
  readonly deadlineAtMs: number;
}

/** An answer later than this many objectives is worth nothing. */
const USELESS_AFTER_OBJECTIVES = 3;

/** Computes a job's times from its longest chain and its queue's objective. */
export function computeObjective(
  steps: readonly StepSpec[],
  rule: QueueRule,
  nowMs: number,
  deadlineMs: number,
): JobTiming {
  const chainMs = computeChain(steps);
  const objectiveMs = rule.stretch * chainMs + rule.allowanceMs;
  return {
    receivedAtMs: nowMs,
    objectiveMs,
    chainMs,
    startByMs: nowMs + objectiveMs - chainMs,
    uselessAtMs: nowMs + USELESS_AFTER_OBJECTIVES * objectiveMs,
    deadlineAtMs: nowMs + deadlineMs,
  };
}

/** Returns the work of the longest chain of steps in milliseconds. */
function computeChain(steps: readonly StepSpec[]): number {
  const ends: number[] = [];
  for (const step of steps) {
    const begin = Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0));
    ends.push(begin + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** Share of the objective that a job may wait for however slow the targets are. */
const LEAST_SLACK_SHARE = 0.15;

/** Returns how long a job may wait in milliseconds and still be in time. */
export function computeSlack(timing: JobTiming, slowness: number): number {
  const {objectiveMs, chainMs} = timing;
  const slackMs = objectiveMs - chainMs * slowness;
  return Math.max(slackMs, objectiveMs * LEAST_SLACK_SHARE);
}
