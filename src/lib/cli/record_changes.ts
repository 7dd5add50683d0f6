/**
 * Applies records by one conditional write each, and finds out the outcome if
 * the reply is lost.
 */
import type {PastRecordVersion} from '../records/record_body.js';
import {getHistory, getRecord, putRecord} from './administration_client.js';
import type {
  AdministrationClient,
  RecordWrite,
} from './administration_client.js';
import {isSuccess, ReplyKind} from './http_exchange.js';
import type {HttpReply} from './http_exchange.js';
import {compareRecord} from './record_difference.js';
import type {RecordDraft} from './record_file.js';
import {createSuccess} from './command_result.js';
import type {CommandResult} from './command_result.js';
import {
  describeLostWrite,
  interpretChange,
  classifyLostWrite,
  LostWriteOutcome,
  readRecord,
} from './results/change_result.js';
import {Effect, interpretFailure} from './results/problem.js';

const NOT_FOUND_STATUS = 404;

/** Writes one record if it differs from the stored one. */
export async function applyRecord(
  client: AdministrationClient,
  draft: RecordDraft,
): Promise<CommandResult> {
  const subject = `${draft.kind}/${draft.name}`;
  const reply = await getRecord(client, draft);
  if (!isFoundOrAbsent(reply)) {
    const failure = interpretFailure(reply, Effect.READS);
    return {...failure, text: `${subject}: ${failure.text}`};
  }
  const stored = readRecord(reply);
  if (compareRecord(stored, draft).length === 0) {
    return createSuccess(`${subject}: no difference`, stored);
  }
  return writeRecord(client, subject, {
    draft,
    writeId: client.context.createId(),
    seenRevision: stored?.revision,
  });
}

/** Tells whether a reply is a success or says that there is no such record. */
export function isFoundOrAbsent(reply: HttpReply): boolean {
  return (
    isSuccess(reply) ||
    (reply.kind === ReplyKind.ANSWERED && reply.status === NOT_FOUND_STATUS)
  );
}

async function writeRecord(
  client: AdministrationClient,
  subject: string,
  write: RecordWrite,
): Promise<CommandResult> {
  const reply = await putRecord(client, write);
  if (reply.kind !== ReplyKind.LOST) return interpretChange(reply, subject);
  const history = await getHistory(client, write.draft);
  const versions = readVersions(history);
  const outcome =
    versions === undefined
      ? LostWriteOutcome.PENDING
      : classifyLostWrite(write.writeId, write.seenRevision, versions);
  return describeLostWrite(outcome, subject, {
    ...write.draft,
    fate: outcome,
    writeId: write.writeId,
  });
}

/** Reads the versions from a reply; undefined if the request failed. */
function readVersions(
  reply: HttpReply,
): readonly PastRecordVersion[] | undefined {
  if (!isFoundOrAbsent(reply)) return undefined;
  if (!isSuccess(reply)) return [];
  return (reply.document as {versions: readonly PastRecordVersion[]}).versions;
}
