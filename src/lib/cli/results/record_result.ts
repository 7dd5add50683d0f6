/** Interprets replies to queries for records, and checks drafts. */
import type {StoredRecord} from '../administration_documents.js';
import type {PastRecordVersion} from '../../records/record_body.js';
import {parseVersion} from '../../records/record_body.js';
import {ExitCode} from '../exit_code.js';
import {isSuccess} from '../http_exchange.js';
import type {HttpReply} from '../http_exchange.js';
import {formatDifference} from '../record_difference.js';
import type {Difference} from '../record_difference.js';
import type {RecordDraft} from '../record_file.js';
import {formatTable} from '../table.js';
import {createSuccess} from '../command_result.js';
import type {CommandResult} from '../command_result.js';
import {Effect, interpretFailure} from './problem.js';

/** Interprets the reply to a query for a list of records. */
export function interpretRecordList(reply: HttpReply): CommandResult {
  if (!isSuccess(reply)) return interpretFailure(reply, Effect.READS);
  const {records} = reply.document as {records: readonly StoredRecord[]};
  const rows = records.map(record => [
    record.kind,
    record.name,
    String(record.revision),
    String(record.schemaVersion),
    record.by,
    record.problem === undefined ? 'in force' : `held: ${record.problem.fault}`,
  ]);
  const heading = ['KIND', 'NAME', 'REVISION', 'SCHEMA', 'BY', 'STATE'];
  return createSuccess(formatTable(heading, rows), reply.document);
}

/** Interprets the reply to a query for one record. */
export function interpretRecord(reply: HttpReply): CommandResult {
  if (!isSuccess(reply)) return interpretFailure(reply, Effect.READS);
  const record = reply.document as StoredRecord;
  const {kind, name, revision, by, schemaVersion, spec, problem} = record;
  const text = [
    `${kind}/${name}, revision ${revision}, by ${by}`,
    JSON.stringify({schemaVersion, kind, name, spec}, undefined, 2),
    ...(problem === undefined
      ? []
      : [`Not in force: ${problem.fault}: ${problem.detail}`]),
  ];
  return createSuccess(text.join('\n'), record);
}

/** Interprets the reply to a query for the versions of a record. */
export function interpretHistory(reply: HttpReply): CommandResult {
  if (!isSuccess(reply)) return interpretFailure(reply, Effect.READS);
  const {versions} = reply.document as {
    versions: readonly PastRecordVersion[];
  };
  const rows = versions.map(version => [
    String(version.revision),
    String(version.schemaVersion),
    version.by,
    JSON.stringify(version.spec),
  ]);
  const heading = ['REVISION', 'SCHEMA', 'BY', 'SPEC'];
  return createSuccess(formatTable(heading, rows), reply.document);
}

/** Checks a draft against the schema of its kind and version. */
export function checkDraft(draft: RecordDraft): CommandResult {
  const {kind, name, schemaVersion, spec} = draft;
  const parsed = parseVersion(
    {kind, name},
    {schemaVersion, spec, writeId: '', by: ''},
  );
  const subject = `${kind}/${name}`;
  if (parsed.isValid) {
    return createSuccess(`${subject}: valid`, {kind, name, isValid: true});
  }
  const {fault, detail} = parsed;
  return {
    exitCode: ExitCode.FAILED,
    text: `${subject}: ${fault}: ${detail}`,
    document: {kind, name, isValid: false, fault, detail},
  };
}

/** Creates the result that lists what a draft would change. */
export function describeDifferences(
  {kind, name}: RecordDraft,
  differences: readonly Difference[],
): CommandResult {
  const lines = differences.map(formatDifference);
  const text = lines.length === 0 ? ['  no difference'] : lines;
  return createSuccess([`${kind}/${name}`, ...text].join('\n'), {
    kind,
    name,
    differences,
  });
}
