/** Sums up the evidence of the demo in the numbers of its last line. */
import type {Evidence} from './scenario/evidence.js';
import {
  findDuplicates,
  findLateStarts,
  isComplete,
} from './scenario/violations.js';

/** What the demo prints at its end. */
export interface DemoSummary {
  readonly jobs: number;
  readonly jobsComplete: number;
  readonly jobsFailed: number;
  /** Submissions under a key that had been used before. */
  readonly resubmissions: number;
  readonly tasks: number;
  readonly starts: number;
  readonly duplicateStarts: number;
  /** Starts in the data centre later than `DRAIN_ALLOWANCE_MS` after its acceptance. */
  readonly startsInDrained: number;
}

/** Time in which a data centre that was taken out may still start tasks. */
export const DRAIN_ALLOWANCE_MS = 5_000;

/** Sums up the evidence; `change` names the taking out of the data centre. */
export function computeSummary(
  evidence: Evidence,
  change: string,
): DemoSummary {
  const {submissions, starts, changes} = evidence;
  const jobs = new Set(submissions.map(({job}) => job));
  const complete = new Set(submissions.filter(isComplete).map(({job}) => job));
  const taskIds = new Set(submissions.flatMap(({taskIds}) => [...taskIds]));
  const out = changes.find(({name}) => name === change);
  const late =
    out === undefined
      ? []
      : findLateStarts(
          out,
          DRAIN_ALLOWANCE_MS,
          evidence,
          start => start.dataCentre,
        );
  return {
    jobs: jobs.size,
    jobsComplete: complete.size,
    jobsFailed: jobs.size - complete.size,
    resubmissions: submissions.length - jobs.size,
    tasks: taskIds.size,
    starts: starts.length,
    duplicateStarts: findDuplicates(starts).length,
    startsInDrained: late.length,
  };
}
