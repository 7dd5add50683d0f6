/** When a job should be done, and when its tasks must begin for that. */
import type {QueueRule} from '../core/fleet_configuration.js';
import type {StepSpec} from '../core/work_job.js';

/** The times of a job, in milliseconds of the entry's monotonic clock. */
export interface JobTiming {
  readonly receivedAtMs: number;
  /** When the caller first sent it, as far as is known; the objective runs from then. */
  readonly sentAtMs: number;
  /** Length of the objective. */
  readonly objectiveMs: number;
  /** Work of the longest chain of steps by the caller's estimates. */
  readonly criticalPathMs: number;
  /** Latest begin that still meets the objective on an average target. */
  readonly startByMs: number;
  /** After this the answer is worth nothing to the caller. */
  readonly worthlessAtMs: number;
  /** When the caller stops waiting. */
  readonly deadlineAtMs: number;
}

/** An answer later than this many objectives is worth nothing. */
const USELESS_AFTER_OBJECTIVES = 3;

/**
 * Time in milliseconds that a request and its answer take on their way between
 * the caller and an entry: 3 ms each way on the larger of the users' sites.
 */
const CALLER_PATH_MS = 6;

/**
 * Computes a job's times from its longest chain and its queue's objective.
 *
 * @param elapsedMs Time since the caller first sent it, where that is known.
 */
export function computeTiming(
  steps: readonly StepSpec[],
  rule: QueueRule,
  nowMs: number,
  deadlineMs: number,
  elapsedMs = 0,
): JobTiming {
  const chainMs = computeCriticalPath(steps);
  const sentAtMs = nowMs - elapsedMs - CALLER_PATH_MS;
  const objectiveMs = rule.stretch * chainMs + rule.allowanceMs;
  return {
    receivedAtMs: nowMs,
    sentAtMs,
    objectiveMs,
    criticalPathMs: chainMs,
    startByMs: sentAtMs + objectiveMs - chainMs,
    worthlessAtMs: sentAtMs + USELESS_AFTER_OBJECTIVES * objectiveMs,
    deadlineAtMs: nowMs + deadlineMs,
  };
}

/** Returns the work of the longest chain of steps in milliseconds. */
export function computeCriticalPath(steps: readonly StepSpec[]): number {
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
  const {objectiveMs, criticalPathMs: chainMs, sentAtMs, receivedAtMs} = timing;
  const slackMs = sentAtMs + objectiveMs - receivedAtMs - chainMs * slowness;
  return Math.max(slackMs, objectiveMs * LEAST_SLACK_SHARE);
}
