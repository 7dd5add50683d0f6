/** Verdicts on sessions and jobs. */
import {ErrorCode} from '../../core/errors.js';
import {Outcome} from '../../core/job.js';
import {ExitCode} from '../exit_code.js';
import {isSuccess} from '../http_exchange.js';
import type {HttpReply} from '../http_exchange.js';
import {createSuccess} from '../verdict.js';
import type {CommandResult} from '../verdict.js';
import {Effect, interpretFailure} from './problem.js';

/** The answer to a session request. */
export interface SessionDocument {
  readonly session: string;
  readonly expiresInMs: number;
}

/** How far a job has come. */
export interface JobProgress {
  readonly key: string;
  readonly state: string;
  readonly done: number;
  readonly total: number;
}

interface CompleteJob {
  readonly key: string;
  readonly outcome: Outcome.COMPLETE;
  readonly results: readonly unknown[];
}

/** Judges the answer to a submission of `taskCount` tasks. */
export function interpretSubmission(
  reply: HttpReply,
  taskCount: number,
): CommandResult {
  return isSuccess(reply)
    ? interpretJobDocument(reply.document, taskCount)
    : interpretFailure(reply, Effect.CHANGES);
}

/** Judges the answer to a question after a job. */
export function interpretJob(reply: HttpReply): CommandResult {
  return isSuccess(reply)
    ? interpretJobDocument(reply.document, undefined)
    : interpretFailure(reply, Effect.READS);
}

/** Judges the answer to a cancellation. */
export function interpretCancellation(reply: HttpReply): CommandResult {
  if (!isSuccess(reply)) return interpretFailure(reply, Effect.CHANGES);
  const {document} = reply;
  return createSuccess('The cancellation was taken.', document);
}

/** Judges the answer to a request for a session. */
export function interpretSession(reply: HttpReply): CommandResult {
  const session = readSession(reply);
  if (session !== undefined) return createSuccess(session.session, session);
  return isSuccess(reply)
    ? describeMalformed(reply.document)
    : interpretFailure(reply, Effect.READS);
}

/** Reads a session from an answer; undefined if it has none. */
export function readSession(reply: HttpReply): SessionDocument | undefined {
  if (!isSuccess(reply)) return undefined;
  const document = reply.document as Partial<SessionDocument> | null;
  return typeof document?.session === 'string'
    ? (document as SessionDocument)
    : undefined;
}

/** Reads the progress of a job that runs; undefined if the reply has none. */
export function readProgress(reply: HttpReply): JobProgress | undefined {
  return isSuccess(reply) && isProgress(reply.document)
    ? reply.document
    : undefined;
}

/** Words the progress of a job. */
export function formatProgress({state, done, total}: JobProgress): string {
  return `${state}: ${done ?? 0} of ${total ?? '?'} tasks done`;
}

function interpretJobDocument(
  document: unknown,
  taskCount: number | undefined,
): CommandResult {
  if (isComplete(document)) return interpretResults(document, taskCount);
  return isProgress(document)
    ? createSuccess(formatProgress(document), document)
    : describeMalformed(document);
}

function interpretResults(
  job: CompleteJob,
  taskCount: number | undefined,
): CommandResult {
  const count = job.results.length;
  // A whole answer has one result a task; anything else is not taken as one.
  if (taskCount !== undefined && count !== taskCount) {
    return {
      ...describeMalformed(job),
      text: `The answer holds ${count} results for ${taskCount} tasks.`,
    };
  }
  return createSuccess(JSON.stringify(job.results, undefined, 2), job);
}

function describeMalformed(document: unknown): CommandResult {
  const detail = 'The answer cannot be understood.';
  return {
    exitCode: ExitCode.UNKNOWN,
    text: detail,
    document: {
      code: ErrorCode.REQUEST_FAILED,
      outcome: Outcome.UNKNOWN,
      detail,
      answer: document,
    },
  };
}

function isComplete(document: unknown): document is CompleteJob {
  const job = document as Partial<CompleteJob> | null;
  return job?.outcome === Outcome.COMPLETE && Array.isArray(job.results);
}

function isProgress(document: unknown): document is JobProgress {
  const job = document as Partial<JobProgress> | null;
  return typeof job?.state === 'string' && typeof job.key === 'string';
}
