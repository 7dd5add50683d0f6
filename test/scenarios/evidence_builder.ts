/** Evidence for tests, of which each test states only what it is about. */
import type {
  Evidence,
  RecordedStart,
  Submission,
} from '../../tools/scenario/evidence.js';

/** Creates a submission that was answered whole. */
export function createSubmission(over: Partial<Submission> = {}): Submission {
  const name = over.name ?? 'job-1';
  const taskIds = over.taskIds ?? [`${name}/0`, `${name}/1`];
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
    ...over,
  };
}

/** Creates a start of the first task of `job-1`. */
export function createStart(over: Partial<RecordedStart> = {}): RecordedStart {
  return {
    taskId: 'job-1/0',
    target: 'target-1',
    dataCentre: 'vn-south-a',
    instance: 'first',
    startedAtMs: 0,
    ...over,
  };
}

/** Creates evidence in which nothing happened. */
export function createEvidence(over: Partial<Evidence> = {}): Evidence {
  return {
    submissions: [],
    starts: [],
    refusals: [],
    changes: [],
    revisions: [],
    limitViolations: 0,
    endedAtMs: 60_000,
    ...over,
  };
}
