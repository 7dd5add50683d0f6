/** Interprets replies to requests that did not succeed. */
import {ErrorCode} from '../../core/errors.js';
import {Outcome} from '../../core/job.js';
import {ExitCode} from '../exit_code.js';
import {ReplyKind} from '../http_exchange.js';
import type {HttpResponse, HttpFailure, HttpReply} from '../http_exchange.js';
import type {CommandResult} from '../command_result.js';

/** The fields of a problem document (RFC 9457) that the commands use. */
export interface ProblemDocument {
  readonly title?: string;
  readonly detail?: string;
  readonly code?: string;
  readonly outcome?: string;
  readonly retryAfterMs?: number;
  readonly faults?: readonly unknown[];
}

/** Whether a request without a response may have changed something. */
export enum Effect {
  READS = 'reads',
  CHANGES = 'changes',
}

/** Code of the administration API for a change that may have been applied. */
const OUTCOME_UNKNOWN_CODE = 'outcome-unknown';

const EXIT_CODE_BY_OUTCOME: Readonly<Record<string, ExitCode>> = {
  [Outcome.COMPLETE]: ExitCode.OK,
  [Outcome.DID_NOT_RUN]: ExitCode.REFUSED,
  [Outcome.FAILED]: ExitCode.FAILED,
  [Outcome.UNKNOWN]: ExitCode.UNKNOWN,
};

/** Interprets an error response or a failed request. */
export function interpretFailure(
  reply: HttpReply,
  effect: Effect,
): CommandResult {
  return reply.kind === ReplyKind.ANSWERED
    ? interpretProblem(reply)
    : describeNoResponse(reply, effect);
}

/**
 * Reads the problem document of a response; empty if the body is not an object.
 */
export function readProblem(response: HttpResponse): ProblemDocument {
  const {document} = response;
  return typeof document === 'object' && document !== null ? document : {};
}

function interpretProblem(response: HttpResponse): CommandResult {
  const problem = readProblem(response);
  return {
    exitCode: chooseProblemCode(response.status, problem),
    text: formatProblem(response.status, problem),
    document: response.document,
  };
}

function chooseProblemCode(status: number, problem: ProblemDocument): ExitCode {
  const byOutcome = EXIT_CODE_BY_OUTCOME[problem.outcome ?? ''];
  if (byOutcome !== undefined) return byOutcome;
  if (problem.code === OUTCOME_UNKNOWN_CODE) return ExitCode.UNKNOWN;
  if (problem.code !== undefined && status !== 500) return ExitCode.REFUSED;
  return status < 500 ? ExitCode.REFUSED : ExitCode.FAILED;
}

function formatProblem(status: number, problem: ProblemDocument): string {
  const title = problem.title ?? `Status ${status}`;
  const isCodeOmitted = problem.code === undefined || problem.code === title;
  const code = isCodeOmitted ? '' : ` [${problem.code}]`;
  const outcome =
    problem.outcome === undefined ? '' : `\nOutcome: ${problem.outcome}.`;
  const retry =
    problem.retryAfterMs === undefined
      ? ''
      : `\nTry again in ${problem.retryAfterMs} ms.`;
  const detail = problem.detail === undefined ? '' : `: ${problem.detail}`;
  return `${title}${code}${detail}${outcome}${retry}${formatFaults(problem)}`;
}

function formatFaults({faults = []}: ProblemDocument): string {
  return faults.map(fault => `\n  ${JSON.stringify(fault)}`).join('');
}

function describeNoResponse(
  failure: HttpFailure,
  effect: Effect,
): CommandResult {
  const {kind, url, reason} = failure;
  const isUnknown = kind === ReplyKind.LOST && effect === Effect.CHANGES;
  const text = isUnknown
    ? `No answer from ${url}: ${reason}. The request may have taken effect.`
    : `${url} cannot be reached: ${reason}. Nothing was changed.`;
  return {
    exitCode: isUnknown ? ExitCode.UNKNOWN : ExitCode.UNREACHABLE,
    text,
    document: {
      code: ErrorCode.REQUEST_FAILED,
      outcome: isUnknown ? Outcome.UNKNOWN : Outcome.DID_NOT_RUN,
      detail: text,
    },
  };
}
