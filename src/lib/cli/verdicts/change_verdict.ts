/** Verdicts on changes of the configuration. */
import type {PastRecordVersion} from '../../records/record_body.js';
import type {RevisionStatus} from '../../admin/status_report.js';
import type {
  ChangeDocument,
  StoredRecord,
} from '../administration_documents.js';
import {chooseExitCode, ExitCode} from '../exit_code.js';
import {isSuccess} from '../http_exchange.js';
import type {HttpReply} from '../http_exchange.js';
import type {CommandResult} from '../verdict.js';
import {Effect, interpretFailure} from './problem.js';

/** What a record's history says of a write whose reply was lost. */
export enum LostWriteOutcome {
  /** The write stands, or stood until another one replaced it. */
  APPLIED = 'stands',
  /** Another write came first; this one never stood and never will. */
  CONFLICTED = 'overtaken',
  /** The record is as it was seen; the write may still arrive. */
  PENDING = 'open',
}

const MAX_PROCESSES_LISTED = 8;

/** Reads a change from an answer; undefined if it was not made. */
export function readChange(reply: HttpReply): ChangeDocument | undefined {
  return isSuccess(reply) ? (reply.document as ChangeDocument) : undefined;
}

/** Judges the answer to a change of one record. */
export function interpretChange(
  reply: HttpReply,
  subject: string,
): CommandResult {
  const change = readChange(reply);
  if (change === undefined) {
    const failure = interpretFailure(reply, Effect.CHANGES);
    return {...failure, text: `${subject}: ${failure.text}`};
  }
  const what = change.isChanged ? 'changed' : 'stood so already';
  return {
    exitCode: ExitCode.OK,
    text: `${subject}: ${what}, ${formatRevision(change)}`,
    document: change,
  };
}

/** Judges whether a change that was waited for is in force everywhere. */
export function interpretWait(
  status: RevisionStatus | undefined,
  change: CommandResult,
): CommandResult {
  if (status === undefined || change.exitCode !== ExitCode.OK) return change;
  const revisionText = formatRevision(status);
  return {
    exitCode: status.isEverywhere ? ExitCode.OK : ExitCode.FAILED,
    text: change.text.endsWith(revisionText)
      ? change.text
      : `${change.text}\nNow ${revisionText}`,
    document: {...(change.document as object), ...status},
  };
}

/** Judges a write whose reply was lost by the record's versions, newest first. */
export function classifyLostWrite(
  writeId: string,
  seenRevision: number | undefined,
  versions: readonly PastRecordVersion[],
): LostWriteOutcome {
  if (versions.some(version => version.writeId === writeId)) {
    return LostWriteOutcome.APPLIED;
  }
  // The write names the revision seen, so it fails once that has passed.
  return versions[0]?.revision === seenRevision
    ? LostWriteOutcome.PENDING
    : LostWriteOutcome.CONFLICTED;
}

/** Words the fate of a write whose reply was lost. */
export function describeLostWrite(
  outcome: LostWriteOutcome,
  subject: string,
  document: unknown,
): CommandResult {
  switch (outcome) {
    case LostWriteOutcome.APPLIED:
      return {
        exitCode: ExitCode.OK,
        text: `${subject}: the reply was lost, but the history shows the change.`,
        document,
      };
    case LostWriteOutcome.CONFLICTED:
      return {
        exitCode: ExitCode.REFUSED,
        text: `${subject}: another change came first; this one was not made.`,
        document,
      };
    case LostWriteOutcome.PENDING:
      return {
        exitCode: ExitCode.UNKNOWN,
        text: `${subject}: the reply was lost and the change may still arrive; look at its history.`,
        document,
      };
  }
}

/** Puts the verdicts on several records together. */
export function mergeResults(results: readonly CommandResult[]): CommandResult {
  return {
    exitCode: chooseExitCode(results.map(result => result.exitCode)),
    text: results.map(result => result.text).join('\n'),
    document: results.map(result => result.document),
  };
}

/** Words how far a revision has come. */
export function formatRevision(status: RevisionStatus): string {
  const {revision, missing, isAccepted, isEverywhere} = status;
  if (isEverywhere) return `revision ${revision} in force everywhere`;
  const state = isAccepted
    ? 'accepted'
    : 'in the store, not yet held by a majority of the entries';
  return `revision ${revision} ${state}; missing at ${formatProcesses(missing)}`;
}

/** Names processes, the first few of many. */
export function formatProcesses(names: readonly string[]): string {
  if (names.length === 0) return 'nobody';
  const shown = names.slice(0, MAX_PROCESSES_LISTED).join(', ');
  const rest = names.length - MAX_PROCESSES_LISTED;
  return rest > 0 ? `${shown} and ${rest} more` : shown;
}

/** Reads a stored record from an answer; undefined if there is none. */
export function readRecord(reply: HttpReply): StoredRecord | undefined {
  return isSuccess(reply) ? (reply.document as StoredRecord) : undefined;
}
