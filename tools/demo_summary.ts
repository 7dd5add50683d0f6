/** Computes the summary that the demo prints as its last line. */
import type {Evidence} from './scenario/evidence.js';
import {
  findDuplicates,
  findLateStarts,
  isComplete,
} from './scenario/violations.js';

/** Summary of the demo; its property names are printed as JSON keys. */
export interface DemoSummary {
  readonly jobs: number;
  readonly jobsComplete: number;
  readonly jobsFailed: number;
  /** Number of submissions that reused an idempotency key. */
  readonly resubmissions: number;
  readonly tasks: number;
  readonly starts: number;
  readonly duplicateStarts: number;
  /**
   * Number of starts in the drained data centre more than `DRAIN_ALLOWANCE_MS`
   * after the drain was accepted.
   */
  readonly startsInDrained: number;
}

/** Milliseconds after the drain was accepted in which tasks may still start. */
export const DRAIN_ALLOWANCE_MS = 5_000;

/** Computes the summary; `change` is the name of the change that drains the data centre. */
export function computeSummary(
  evidence: Evidence,
  change: string,
): DemoSummary {
  const {submissions, starts, changes} = evidence;
  const jobs = new Set(submissions.map(({job}) => job));
  const completeJobs = new Set(
    submissions.filter(isComplete).map(({job}) => job),
  );
  const taskIds = new Set(submissions.flatMap(({taskIds}) => [...taskIds]));
  const drainChange = changes.find(({name}) => name === change);
  const lateStarts =
    drainChange === undefined
      ? []
      : findLateStarts(
          drainChange,
          DRAIN_ALLOWANCE_MS,
          evidence,
          start => start.dataCentre,
        );
  return {
    jobs: jobs.size,
    jobsComplete: completeJobs.size,
    jobsFailed: jobs.size - completeJobs.size,
    resubmissions: submissions.length - jobs.size,
    tasks: taskIds.size,
    starts: starts.length,
    duplicateStarts: findDuplicates(starts).length,
    startsInDrained: lateStarts.length,
  };
}
