/** When a job should end, and when its tasks have to start to achieve that. */
import type {QueueRule} from '../core/fleet_configuration.js';
import type {StepSpec} from '../core/work_job.js';

/** Times of a job in milliseconds of the entry's monotonic clock. */
export interface JobTiming {
  readonly receivedAtMs: number;
  /** When the caller first sent the job, as far as is known; start of the objective. */
  readonly sentAtMs: number;
  /** Response time in milliseconds that the job should not exceed. */
  readonly objectiveMs: number;
  /** Length of the critical path of steps by the caller's estimates. */
  readonly criticalPathMs: number;
  /** Latest start that still meets the objective on a target of average speed. */
  readonly startByMs: number;
  /** Time after which the answer is worthless to the caller. */
  readonly worthlessAtMs: number;
  /** Time at which the caller stops waiting. */
  readonly deadlineAtMs: number;
}

/** Number of objectives after which an answer is worthless. */
const WORTHLESS_AFTER_OBJECTIVES = 3;

/**
 * Network time in milliseconds of a request and its answer between the caller
 * and an entry: 3 ms each way on the larger of the users' sites.
 */
const CALLER_PATH_MS = 6;

/**
 * Computes a job's times from its critical path and its queue's objective.
 *
 * @param elapsedMs Time since the caller first sent the job; 0 if not known.
 */
export function computeTiming(
  steps: readonly StepSpec[],
  rule: QueueRule,
  nowMs: number,
  deadlineMs: number,
  elapsedMs = 0,
): JobTiming {
  const criticalPathMs = computeCriticalPath(steps);
  const sentAtMs = nowMs - elapsedMs - CALLER_PATH_MS;
  const objectiveMs = rule.stretch * criticalPathMs + rule.allowanceMs;
  return {
    receivedAtMs: nowMs,
    sentAtMs,
    objectiveMs,
    criticalPathMs,
    startByMs: sentAtMs + objectiveMs - criticalPathMs,
    worthlessAtMs: sentAtMs + WORTHLESS_AFTER_OBJECTIVES * objectiveMs,
    deadlineAtMs: nowMs + deadlineMs,
  };
}

/** Returns the length in milliseconds of the critical path through the steps. */
export function computeCriticalPath(steps: readonly StepSpec[]): number {
  const ends: number[] = [];
  let pathMs = 0;
  // Not by `Math.max` with all values as arguments, which exceeds the stack from about
  // 120,000 of them on.
  for (const {after, estimateMs} of steps) {
    let beginMs = 0;
    for (const step of after) beginMs = Math.max(beginMs, ends[step] ?? 0);
    ends.push(beginMs + estimateMs);
    pathMs = Math.max(pathMs, beginMs + estimateMs);
  }
  return pathMs;
}

/** Share of the objective that a job may wait in any case, however slow the targets are. */
const MIN_SLACK_SHARE = 0.15;

/** Returns how long in milliseconds a job may wait and still meet its objective. */
export function computeSlack(timing: JobTiming, slowness: number): number {
  const {objectiveMs, criticalPathMs, sentAtMs, receivedAtMs} = timing;
  const slackMs =
    sentAtMs + objectiveMs - receivedAtMs - criticalPathMs * slowness;
  return Math.max(slackMs, objectiveMs * MIN_SLACK_SHARE);
}
