/** Interprets replies to configuration changes. */
import type {PastRecordVersion} from '../../records/record_body.js';
import type {RevisionStatus} from '../../admin/status_report.js';
import type {
  ChangeDocument,
  StoredRecord,
} from '../administration_documents.js';
import {chooseExitCode, ExitCode} from '../exit_code.js';
import {isSuccess} from '../http_exchange.js';
import type {HttpReply} from '../http_exchange.js';
import type {CommandResult} from '../command_result.js';
import {Effect, interpretFailure} from './problem.js';

/** Outcome of a write whose reply was lost, according to the history. */
export enum LostWriteOutcome {
  /** The write was applied; a later write may have replaced it since. */
  APPLIED = 'stands',
  /** Another write was applied first; this one was not and never will be. */
  CONFLICTED = 'overtaken',
  /** The record is unchanged since it was read; the write may still arrive. */
  PENDING = 'open',
}

const MAX_PROCESSES_LISTED = 8;

/** Reads a change from a reply; undefined if the request failed. */
export function readChange(reply: HttpReply): ChangeDocument | undefined {
  return isSuccess(reply) ? (reply.document as ChangeDocument) : undefined;
}

/** Interprets the reply to a change of `subject`. */
export function interpretChange(
  reply: HttpReply,
  subject: string,
): CommandResult {
  const change = readChange(reply);
  if (change === undefined) {
    const failure = interpretFailure(reply, Effect.CHANGES);
    return {...failure, text: `${subject}: ${failure.text}`};
  }
  const what = change.isChanged ? 'changed' : 'unchanged';
  return {
    exitCode: ExitCode.OK,
    text: `${subject}: ${what}, ${formatRevision(change)}`,
    document: change,
  };
}

/** Adds to a change's result whether it came into force everywhere in time. */
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

/** Classifies a write with a lost reply by the versions, newest first. */
export function classifyLostWrite(
  writeId: string,
  seenRevision: number | undefined,
  versions: readonly PastRecordVersion[],
): LostWriteOutcome {
  if (versions.some(version => version.writeId === writeId)) {
    return LostWriteOutcome.APPLIED;
  }
  // The write is conditional on `seenRevision`, so it fails once the record is at
  // another revision or deleted.
  return versions[0]?.revision === seenRevision
    ? LostWriteOutcome.PENDING
    : LostWriteOutcome.CONFLICTED;
}

/** Creates the result of a write whose reply was lost. */
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
        text: `${subject}: another change was applied first; this one was not applied.`,
        document,
      };
    case LostWriteOutcome.PENDING:
      return {
        exitCode: ExitCode.UNKNOWN,
        text: `${subject}: the reply was lost and the change may still arrive; check the record's history.`,
        document,
      };
  }
}

/** Merges the results of several records into one. */
export function mergeResults(results: readonly CommandResult[]): CommandResult {
  return {
    exitCode: chooseExitCode(results.map(result => result.exitCode)),
    text: results.map(result => result.text).join('\n'),
    document: results.map(result => result.document),
  };
}

/** Formats whether a revision is in force, and the processes that lack it. */
export function formatRevision(status: RevisionStatus): string {
  const {revision, missing, isAccepted, isEverywhere} = status;
  if (isEverywhere) return `revision ${revision} in force everywhere`;
  const state = isAccepted
    ? 'accepted'
    : 'in the store, not yet held by a majority of the entries';
  return `revision ${revision} ${state}; missing at ${formatProcesses(missing)}`;
}

/** Lists process names, shortened to the first `MAX_PROCESSES_LISTED`. */
export function formatProcesses(names: readonly string[]): string {
  if (names.length === 0) return 'no process';
  const shown = names.slice(0, MAX_PROCESSES_LISTED).join(', ');
  const rest = names.length - MAX_PROCESSES_LISTED;
  return rest > 0 ? `${shown} and ${rest} more` : shown;
}

/** Reads a stored record from a reply; undefined if it contains none. */
export function readRecord(reply: HttpReply): StoredRecord | undefined {
  return isSuccess(reply) ? (reply.document as StoredRecord) : undefined;
}
