/** Finds in the evidence what breaks a promise. */
import type {Change, Evidence, RecordedStart, Submission} from './evidence.js';
import {dropAttempt} from './job_body.js';

/** Lists the tasks that started more than once, under whatever attempt. */
export function findDuplicates(starts: readonly RecordedStart[]): string[] {
  const counts = countBy(starts, start => dropAttempt(start.taskId));
  return [...counts].flatMap(([id, count]) => (count > 1 ? [id] : []));
}

/** Tells whether a caller received every result of a job, each its own. */
export function isWhole(submission: Submission): boolean {
  const {answer, taskIds} = submission;
  const results = answer?.body?.results ?? [];
  return (
    answer?.status === 200 &&
    answer.body?.outcome === 'complete' &&
    results.length === taskIds.length &&
    results.every((result, index) => readEcho(result) === taskIds[index])
  );
}

/** Lists submissions that were told "complete" without every result. */
export function findPartial(list: readonly Submission[]): Submission[] {
  return list.filter(({answer, taskIds}) => {
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

/** Lists results that belong to another request. */
export function findForeign(submission: Submission): unknown[] {
  const results = submission.answer?.body?.results ?? [];
  return results.filter((result, index) => {
    const echo = readEcho(result);
    return echo !== undefined && echo !== submission.taskIds[index];
  });
}

/** Lists submissions said not to have run whose tasks did start. */
export function findFalseDidNotRun(evidence: Evidence): Submission[] {
  const started = new Set(evidence.starts.map(start => start.taskId));
  return evidence.submissions.filter(
    ({answer, taskIds}) =>
      answer?.body?.outcome === 'did-not-run' &&
      taskIds.some(id => started.has(id)),
  );
}

/** Lists starts in a data centre that was out for longer than `afterMs`. */
export function findLateStarts(
  change: Change,
  afterMs: number,
  evidence: Evidence,
  readPlace: (start: RecordedStart) => string,
): RecordedStart[] {
  const fromMs = change.acceptedAtMs + afterMs;
  const back = evidence.changes.find(
    other =>
      other.subject === change.subject &&
      other.to !== change.to &&
      other.acceptedAtMs > change.acceptedAtMs,
  );
  // The return may be in force before its acceptance has come back to us.
  const untilMs = back?.sentAtMs ?? Infinity;
  return evidence.starts.filter(
    start =>
      readPlace(start) === change.subject &&
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
