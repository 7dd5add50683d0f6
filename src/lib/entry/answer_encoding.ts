/** Encodes answers as HTTP bodies: JSON, and problem details (RFC 9457). */
import {Outcome, Problem} from '../core/job.js';
import type {TaskFault} from '../core/job.js';
import type {JobAnswer} from '../decisions/job_run.js';
import {ReplyKind} from './dispatcher_messages.js';
import type {DispatcherReply, Refusal} from './dispatcher_messages.js';

/** An HTTP response that is ready to be sent. */
export interface EncodedAnswer {
  /** HTTP status code. */
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
  /** Suggested delay in milliseconds before a retry; 0 for none. */
  readonly retryAfterMs: number;
}

/** Content type of a successful answer. */
export const JSON_TYPE = 'application/json';

/** Content type of problem details, as RFC 9457 defines it. */
export const PROBLEM_TYPE = 'application/problem+json';

const STATUSES: Readonly<Record<Problem, number>> = {
  [Problem.REQUEST_INVALID]: 400,
  [Problem.BODY_TOO_LARGE]: 413,
  [Problem.TEAM_UNKNOWN]: 403,
  [Problem.KEY_INVALID]: 400,
  [Problem.KEY_REUSED]: 422,
  [Problem.SESSION_ENDED]: 409,
  [Problem.OWNER_UNREACHABLE]: 503,
  [Problem.OVERLOADED]: 503,
  [Problem.QUOTA_EXCEEDED]: 429,
  [Problem.DEADLINE_UNREACHABLE]: 503,
  [Problem.DEADLINE_PASSED]: 504,
  [Problem.NO_TARGETS]: 503,
  [Problem.CANNOT_RUN]: 422,
  [Problem.TASK_FAILED]: 502,
  [Problem.TASK_LOST]: 502,
  [Problem.RESULT_TOO_LARGE]: 502,
  [Problem.CANCELLED]: 409,
  [Problem.STOPPING]: 503,
  [Problem.NOT_READY]: 503,
  [Problem.ANSWER_EXPIRED]: 410,
  [Problem.NOT_FOUND]: 404,
  [Problem.INTERNAL]: 500,
};

const TITLES: Readonly<Record<Outcome, string>> = {
  [Outcome.COMPLETE]: 'Complete',
  [Outcome.DID_NOT_RUN]: 'Did not run',
  [Outcome.FAILED]: 'Failed',
  [Outcome.UNKNOWN]: 'Outcome unknown',
};

const DETAILS: Partial<Record<Problem, string>> = {
  [Problem.TASK_FAILED]: 'At least one task was answered with an error.',
  [Problem.TASK_LOST]: 'The result of at least one task was lost.',
  [Problem.DEADLINE_PASSED]: 'The deadline passed before every task had ended.',
  [Problem.CANCELLED]: 'The job was cancelled.',
};

/** Suggested delay in milliseconds before a retry at an unreachable owner. */
const OWNER_RETRY_MS = 1000;

const EMPTY_LIST = Buffer.from('[]}');
const COMMA = Buffer.from(',');
const OPENING = Buffer.from('[');
const CLOSING = Buffer.from(']}');

/** Fields of problem details that do not follow from the problem code. */
export interface ProblemDetails {
  readonly problem: Problem;
  readonly outcome: Outcome;
  readonly detail: string;
  readonly key?: string;
  readonly retryAfterMs?: number;
  readonly faults?: readonly TaskFault[];
}

/** Encodes problem details; the status code follows from the problem. */
export function encodeProblem(details: ProblemDetails): EncodedAnswer {
  const status = STATUSES[details.problem];
  const retryAfterMs = details.retryAfterMs ?? 0;
  const body = {
    type: `urn:foxtailbay:problem:${details.problem}`,
    title: TITLES[details.outcome],
    status,
    detail: details.detail,
    code: details.problem,
    outcome: details.outcome,
    key: details.key,
    retryAfterMs: retryAfterMs === 0 ? undefined : retryAfterMs,
    faults: details.faults?.length ? details.faults : undefined,
  };
  return {
    status,
    contentType: PROBLEM_TYPE,
    body: Buffer.from(JSON.stringify(body)),
    retryAfterMs,
  };
}

/** Encodes a value as a JSON answer. */
export function encodeJson(status: number, value: object): EncodedAnswer {
  const body = Buffer.from(JSON.stringify(value));
  return {status, contentType: JSON_TYPE, body, retryAfterMs: 0};
}

/**
 * Encodes the dispatcher's reply to a request.
 *
 * @param key Undefined for a job that was submitted without a key.
 * @param progressStatus HTTP status code of a reply that reports progress.
 */
export function encodeReply(
  reply: Exclude<DispatcherReply, {kind: ReplyKind.SESSION}>,
  key: string | undefined,
  progressStatus: number,
): EncodedAnswer {
  switch (reply.kind) {
    case ReplyKind.ANSWER:
      return encodeAnswer(reply.answer, key);
    case ReplyKind.PROGRESS: {
      const {state, done, total} = reply;
      return encodeJson(progressStatus, {key, state, done, total});
    }
    case ReplyKind.REFUSAL:
      return encodeRefusal(reply.refusal, key);
  }
}

function encodeAnswer(
  answer: JobAnswer,
  key: string | undefined,
): EncodedAnswer {
  if (answer.problem !== undefined) {
    const {problem, outcome, faults} = answer;
    const detail = DETAILS[problem] ?? 'The job did not complete.';
    return encodeProblem({problem, outcome, detail, key, faults});
  }
  const head = JSON.stringify({key, outcome: answer.outcome});
  const opening = `${head.slice(0, -1)},"results":`;
  const body = joinResults(Buffer.from(opening), answer.results);
  return {status: 200, contentType: JSON_TYPE, body, retryAfterMs: 0};
}

function joinResults(opening: Buffer, results: readonly Uint8Array[]): Buffer {
  if (results.length === 0) return Buffer.concat([opening, EMPTY_LIST]);
  const parts: Uint8Array[] = [opening, OPENING, results[0]];
  for (const result of results.slice(1)) parts.push(COMMA, result);
  parts.push(CLOSING);
  return Buffer.concat(parts);
}

function encodeRefusal(
  refusal: Refusal,
  key: string | undefined,
): EncodedAnswer {
  const {problem, detail, retryAfterMs, isProvenUnstarted} = refusal;
  const outcome = isProvenUnstarted ? Outcome.DID_NOT_RUN : Outcome.UNKNOWN;
  return encodeProblem({problem, outcome, detail, key, retryAfterMs});
}

/** Encodes the answer for a key whose owner cannot be reached. */
export function describeUnreachableOwner(key: string): EncodedAnswer {
  return encodeProblem({
    problem: Problem.OWNER_UNREACHABLE,
    outcome: Outcome.UNKNOWN,
    detail:
      'The entry that owns this key gave no answer. Asking again under the ' +
      'same key is safe.',
    key,
    retryAfterMs: OWNER_RETRY_MS,
  });
}
