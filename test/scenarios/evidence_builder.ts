/** Builders of evidence with defaults, so that a test states only what matters to it. */
import type {
  Evidence,
  RecordedStart,
  Submission,
} from '../../tools/scenario/evidence.js';

/** Creates a submission with a complete answer. */
export function createSubmission(
  overrides: Partial<Submission> = {},
): Submission {
  const name = overrides.name ?? 'job-1';
  const taskIds = overrides.taskIds ?? [`${name}/0`, `${name}/1`];
  return {
    name,
    group: name,
    job: name,
    via: 'entry-1',
    taskIds,
    sentAtMs: 0,
    endedAtMs: 10,
    answer: {
      status: 200,
      body: {outcome: 'complete', results: taskIds.map(echo => ({echo}))},
    },
    failure: '',
    isCut: false,
    ...overrides,
  };
}

/** Creates a start of the first task of `job-1`. */
export function createStart(
  overrides: Partial<RecordedStart> = {},
): RecordedStart {
  return {
    taskId: 'job-1/0',
    target: 'target-1',
    dataCentre: 'vn-south-a',
    instance: 'first',
    startedAtMs: 0,
    ...overrides,
  };
}

/** Creates evidence without submissions, starts and changes. */
export function createEvidence(overrides: Partial<Evidence> = {}): Evidence {
  return {
    submissions: [],
    starts: [],
    refusals: [],
    changes: [],
    revisions: [],
    limitViolations: 0,
    endedAtMs: 60_000,
    ...overrides,
  };
}
