/** Verdicts on requests that did not succeed. */
import {ErrorCode} from '../../core/errors.js';
import {Outcome} from '../../core/job.js';
import {ExitCode} from '../exit_code.js';
import {ReplyKind} from '../http_exchange.js';
import type {HttpAnswer, HttpFailure, HttpReply} from '../http_exchange.js';
import type {Verdict} from '../verdict.js';

/** The fields of a problem document (RFC 9457) that the commands use. */
export interface ProblemDocument {
  readonly title?: string;
  readonly detail?: string;
  readonly code?: string;
  readonly outcome?: string;
  readonly retryAfterMs?: number;
  readonly faults?: readonly unknown[];
}

/** Whether a request that gets no reply may have changed something. */
export enum Effect {
  READS = 'reads',
  CHANGES = 'changes',
}

/** Code by which the administration API says that a change may stand. */
const OUTCOME_UNKNOWN_CODE = 'outcome-unknown';

const EXIT_CODE_BY_OUTCOME: Readonly<Record<string, ExitCode>> = {
  [Outcome.COMPLETE]: ExitCode.OK,
  [Outcome.DID_NOT_RUN]: ExitCode.REFUSED,
  [Outcome.FAILED]: ExitCode.FAILED,
  [Outcome.UNKNOWN]: ExitCode.UNKNOWN,
};

/** Judges a reply that is no success. */
export function judgeFailure(reply: HttpReply, effect: Effect): Verdict {
  return reply.kind === ReplyKind.ANSWERED
    ? judgeProblem(reply)
    : judgeSilence(reply, effect);
}

/** Reads the problem document of an answer; an empty one if there is none. */
export function readProblem(answer: HttpAnswer): ProblemDocument {
  const {document} = answer;
  return typeof document === 'object' && document !== null ? document : {};
}

function judgeProblem(answer: HttpAnswer): Verdict {
  const problem = readProblem(answer);
  return {
    exitCode: chooseProblemCode(answer.status, problem),
    text: formatProblem(answer.status, problem),
    document: answer.document,
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
  const isTold = problem.code === undefined || problem.code === title;
  const code = isTold ? '' : ` [${problem.code}]`;
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

function judgeSilence(failure: HttpFailure, effect: Effect): Verdict {
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
