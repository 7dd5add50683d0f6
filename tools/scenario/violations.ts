/** Finds violations of the guarantees in the evidence. */
import type {Change, Evidence, RecordedStart, Submission} from './evidence.js';
import {dropAttempt} from './job_body.js';

/** Lists the tasks that started more than once, over all attempts. */
export function findDuplicates(starts: readonly RecordedStart[]): string[] {
  const counts = countBy(starts, start => dropAttempt(start.taskId));
  return [...counts].flatMap(([id, count]) => (count > 1 ? [id] : []));
}

/** Returns whether the answer holds the result of each task, in task order. */
export function isComplete(submission: Submission): boolean {
  const {answer, taskIds} = submission;
  const results = answer?.body?.results ?? [];
  return (
    answer?.status === 200 &&
    answer.body?.outcome === 'complete' &&
    results.length === taskIds.length &&
    results.every((result, index) => readEcho(result) === taskIds[index])
  );
}

/** Lists submissions whose answer has status 200 but is not complete. */
export function findPartialAnswers(
  submissions: readonly Submission[],
): Submission[] {
  return submissions.filter(({answer, taskIds}) => {
    if (answer === undefined || answer.status !== 200) return false;
    const {body} = answer;
    if (body === undefined) return true;
    if (body.outcome !== 'complete') return true;
    const results = body.results ?? [];
    return (
      results.length !== taskIds.length ||
      results.some(result => readEcho(result) === undefined)
    );
  });
}

/** Lists results of an answer that belong to another request. */
export function findForeignResults(submission: Submission): unknown[] {
  const results = submission.answer?.body?.results ?? [];
  return results.filter((result, index) => {
    const echo = readEcho(result);
    return echo !== undefined && echo !== submission.taskIds[index];
  });
}

/** Lists submissions answered `did-not-run` of which a task did start. */
export function findFalseDidNotRun(evidence: Evidence): Submission[] {
  const started = new Set(evidence.starts.map(start => start.taskId));
  return evidence.submissions.filter(
    ({answer, taskIds}) =>
      answer?.body?.outcome === 'did-not-run' &&
      taskIds.some(id => started.has(id)),
  );
}

/** Lists starts at the subject of a change, from `afterMs` after its acceptance until it is reversed. */
export function findLateStarts(
  change: Change,
  afterMs: number,
  evidence: Evidence,
  readLocation: (start: RecordedStart) => string,
): RecordedStart[] {
  const fromMs = change.acceptedAtMs + afterMs;
  const reversal = evidence.changes.find(
    other =>
      other.subject === change.subject &&
      other.to !== change.to &&
      other.acceptedAtMs > change.acceptedAtMs,
  );
  // The reversal may take effect before its acceptance is received here.
  const untilMs = reversal?.sentAtMs ?? Infinity;
  return evidence.starts.filter(
    start =>
      readLocation(start) === change.subject &&
      start.startedAtMs > fromMs &&
      start.startedAtMs < untilMs,
  );
}

function readEcho(result: unknown): string | undefined {
  if (typeof result !== 'object' || result === null) return undefined;
  const echo = (result as {echo?: unknown}).echo;
  return typeof echo === 'string' ? echo : undefined;
}

function countBy<T>(
  items: readonly T[],
  readKey: (item: T) => string,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) {
    const key = readKey(item);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}
