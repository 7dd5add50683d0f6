/** Reads records from the store for operators. */
import type {PlatformStore, StoredValue} from '../store/platform_store.js';
import {
  RECORDS_FOLDER,
  RecordKind,
  ServiceState,
  formatRecordKey,
  parseRecordPath,
} from '../records/record.js';
import type {ConfigurationRecord, RecordIdentity} from '../records/record.js';
import {
  parseEnvelope,
  parseRecord,
  recoverRecord,
} from '../records/record_body.js';
import type {PastRecordVersion} from '../records/record_body.js';
import type {StoredRecord} from './administration_answer.js';
import type {FoundValue} from './read_back.js';
import {listVersions} from './write_plan.js';

/** Records read from the store at one revision. */
export interface StoredRecords {
  readonly revision: number;
  readonly records: readonly StoredRecord[];
}

/** Stored service state of a data centre. */
export interface StoredDataCentre {
  readonly service: ServiceState;
  readonly by: string;
  /** Revision of the record; that of the store if there is none. */
  readonly revision: number;
}

/** Store and key prefix from which records are read. */
export interface RecordSource {
  readonly store: Pick<PlatformStore, 'list'>;
  readonly prefix: string;
}

/** Reads the current value under a record's key. */
export async function findValue(
  {store, prefix}: RecordSource,
  identity: RecordIdentity,
): Promise<FoundValue> {
  const key = formatRecordKey(prefix, identity);
  const {revision, values} = await store.list(key);
  const found = values.find(value => value.key === key);
  return {found, snapshotRevision: revision};
}

/** Lists the records of one kind, or of all kinds. */
export async function listRecords(
  {store, prefix}: RecordSource,
  kind?: RecordKind,
): Promise<StoredRecords> {
  const folder = prefix + RECORDS_FOLDER;
  const subfolder = kind === undefined ? folder : `${folder}${kind}/`;
  const {revision, values} = await store.list(subfolder);
  const records = values.flatMap(value => {
    const identity = parseRecordPath(value.key.slice(folder.length));
    return identity === undefined ? [] : [describeRecord(identity, value)];
  });
  return {revision, records};
}

/** Reads one record; undefined if it does not exist. */
export async function getRecord(
  source: RecordSource,
  identity: RecordIdentity,
): Promise<StoredRecord | undefined> {
  const {found} = await findValue(source, identity);
  return found === undefined ? undefined : describeRecord(identity, found);
}

/** Reads the versions of a record, newest first; empty if it does not exist. */
export async function getHistory(
  source: RecordSource,
  identity: RecordIdentity,
): Promise<readonly PastRecordVersion[]> {
  const {found} = await findValue(source, identity);
  return found === undefined ? [] : listVersions(found);
}

/** Reads the service state of a data centre; in service if it has no record. */
export async function getDataCentre(
  source: RecordSource,
  name: string,
): Promise<StoredDataCentre> {
  const identity = {kind: RecordKind.DATA_CENTRE, name};
  const {found, snapshotRevision} = await findValue(source, identity);
  if (found === undefined) {
    return {service: ServiceState.IN, by: '', revision: snapshotRevision};
  }
  const parsed = parseRecord(identity, found.value);
  const record = parsed.isValid
    ? parsed.record
    : recoverRecord(identity, found.value);
  return {
    service: readService(record),
    by: parseEnvelope(found.value)?.by ?? '',
    revision: found.revision,
  };
}

/** Returns the service state in a record; in service if there is no record. */
export function readService(
  record: ConfigurationRecord | undefined,
): ServiceState {
  return record?.kind === RecordKind.DATA_CENTRE
    ? record.specification.service
    : ServiceState.IN;
}

function describeRecord(
  identity: RecordIdentity,
  {value, revision}: StoredValue,
): StoredRecord {
  const parsed = parseRecord(identity, value);
  const envelope = parseEnvelope(value);
  const {fault, detail} = parsed.isValid
    ? {fault: undefined, detail: ''}
    : parsed;
  return {
    ...identity,
    revision,
    schemaVersion: envelope?.schemaVersion ?? 0,
    by: envelope?.by ?? '',
    writeId: envelope?.writeId ?? '',
    spec: envelope?.spec ?? null,
    ...(fault === undefined ? {} : {problem: {fault, detail}}),
  };
}
