/** Interprets replies to requests for sessions and jobs. */
import {ErrorCode} from '../../core/errors.js';
import {Outcome} from '../../core/job.js';
import {ExitCode} from '../exit_code.js';
import {isSuccess} from '../http_exchange.js';
import type {HttpReply} from '../http_exchange.js';
import {createSuccess} from '../command_result.js';
import type {CommandResult} from '../command_result.js';
import {Effect, interpretFailure} from './problem.js';

/** Response to a session request. */
export interface SessionDocument {
  readonly session: string;
  readonly expiresInMs: number;
}

/** Progress of a job that has not ended. */
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

/** Interprets the reply to a submission of `taskCount` tasks. */
export function interpretSubmission(
  reply: HttpReply,
  taskCount: number,
): CommandResult {
  return isSuccess(reply)
    ? interpretJobDocument(reply.document, taskCount)
    : interpretFailure(reply, Effect.CHANGES);
}

/** Interprets the reply to a query for a job. */
export function interpretJob(reply: HttpReply): CommandResult {
  return isSuccess(reply)
    ? interpretJobDocument(reply.document, undefined)
    : interpretFailure(reply, Effect.READS);
}

/** Interprets the reply to a cancellation. */
export function interpretCancellation(reply: HttpReply): CommandResult {
  if (!isSuccess(reply)) return interpretFailure(reply, Effect.CHANGES);
  const {document} = reply;
  return createSuccess('The cancellation was accepted.', document);
}

/** Interprets the reply to a request for a session. */
export function interpretSession(reply: HttpReply): CommandResult {
  const session = readSession(reply);
  if (session !== undefined) return createSuccess(session.session, session);
  return isSuccess(reply)
    ? describeMalformed(reply.document)
    : interpretFailure(reply, Effect.READS);
}

/** Reads a session from a reply; undefined if it contains none. */
export function readSession(reply: HttpReply): SessionDocument | undefined {
  if (!isSuccess(reply)) return undefined;
  const document = reply.document as Partial<SessionDocument> | null;
  return typeof document?.session === 'string'
    ? (document as SessionDocument)
    : undefined;
}

/** Reads the progress of a job from a reply; undefined if it contains none. */
export function readProgress(reply: HttpReply): JobProgress | undefined {
  return isSuccess(reply) && isProgress(reply.document)
    ? reply.document
    : undefined;
}

/** Formats the progress of a job as one line. */
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
  // A complete response has one result per task; any other number is rejected.
  if (taskCount !== undefined && count !== taskCount) {
    return {
      ...describeMalformed(job),
      text: `The response contains ${count} results for ${taskCount} tasks.`,
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
