/** The text of a record in the store: its envelope, its versions, its parse. */
import {NEWEST_SCHEMA_VERSION} from './record.js';
import type {ConfigurationRecord, RecordIdentity} from './record.js';
import {
  describeMistakes,
  findReader,
  listSchemaVersions,
} from './record_schema.js';

/** Why a record cannot be put in force. */
export enum RecordFault {
  /** The value is no JSON object or lacks what every version has. */
  BODY_BROKEN = 'body-broken',
  /** The value names another kind or name than its key. */
  IDENTITY_WRONG = 'identity-wrong',
  /** The schema version is newer than this program. */
  SCHEMA_NEWER = 'schema-newer',
  /** The schema version is older than any that this program reads. */
  SCHEMA_UNKNOWN = 'schema-unknown',
  /** The specification does not fit its schema. */
  SPECIFICATION_INVALID = 'specification-invalid',
}

/** One version of a record, with who wrote it. */
export interface RecordVersion {
  readonly schemaVersion: number;
  /** Random, drawn by the writer; tells a lost reply from a conflict. */
  readonly writeId: string;
  readonly by: string;
  /** Checked by the schema of the kind and version before it is used. */
  readonly spec: unknown;
}

/** A version that has been replaced, with the revision it had. */
export interface PastRecordVersion extends RecordVersion {
  readonly revision: number;
}

/** What every schema version of a record has in common. */
export interface RecordEnvelope extends RecordVersion {
  readonly kind: string;
  readonly name: string;
  /** Replaced versions, newest first. */
  readonly history: readonly PastRecordVersion[];
}

/** The result of parsing one version of a record. */
export type ParsedRecord =
  | {readonly isValid: true; readonly record: ConfigurationRecord}
  | {
      readonly isValid: false;
      readonly fault: RecordFault;
      readonly detail: string;
    };

/** Reads what all schema versions have in common; undefined if it is broken. */
export function parseEnvelope(text: string): RecordEnvelope | undefined {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return undefined;
  }
  if (!isObject(body) || !Number.isInteger(body.schemaVersion)) {
    return undefined;
  }
  return {
    ...readVersion(body),
    kind: readText(body.kind),
    name: readText(body.name),
    history: Array.isArray(body.history)
      ? body.history.filter(isObject).map(readPastVersion)
      : [],
  };
}

/** Parses one version of a record by the schema of its kind and version. */
export function parseVersion(
  identity: RecordIdentity,
  version: RecordVersion,
): ParsedRecord {
  const {kind, name} = identity;
  const reader = findReader(kind, version.schemaVersion);
  if (reader === undefined) return rejectSchema(identity, version);
  if (!reader.validate(version.spec)) {
    const detail = describeMistakes(reader.validate);
    return rejectRecord(RecordFault.SPECIFICATION_INVALID, detail);
  }
  return {isValid: true, record: reader.upgrade(name, version.spec)};
}

/** Parses the text that the store holds for a record. */
export function parseRecord(
  identity: RecordIdentity,
  text: string,
): ParsedRecord {
  const envelope = parseEnvelope(text);
  if (envelope === undefined) {
    return rejectRecord(
      RecordFault.BODY_BROKEN,
      'the value is no JSON object with a whole number "schemaVersion"',
    );
  }
  if (envelope.kind !== identity.kind || envelope.name !== identity.name) {
    return rejectRecord(
      RecordFault.IDENTITY_WRONG,
      `the value is of ${envelope.kind}/${envelope.name}`,
    );
  }
  return parseVersion(identity, envelope);
}

/**
 * Finds the newest replaced version that can be put in force. A process that
 * starts while the newest version is from the future finds the last good one
 * here.
 */
export function recoverRecord(
  identity: RecordIdentity,
  text: string,
): ConfigurationRecord | undefined {
  for (const version of parseEnvelope(text)?.history ?? []) {
    const parsed = parseVersion(identity, version);
    if (parsed.isValid) return parsed.record;
  }
  return undefined;
}

function rejectSchema(
  {kind}: RecordIdentity,
  version: RecordVersion,
): ParsedRecord {
  const isNewer = version.schemaVersion > NEWEST_SCHEMA_VERSION;
  return rejectRecord(
    isNewer ? RecordFault.SCHEMA_NEWER : RecordFault.SCHEMA_UNKNOWN,
    `schema version ${version.schemaVersion} is not one of ` +
      `${listSchemaVersions(kind).join(', ')} that are read for ${kind}`,
  );
}

function rejectRecord(fault: RecordFault, detail: string): ParsedRecord {
  return {isValid: false, fault, detail};
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function readText(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

function readVersion(body: Record<string, unknown>): RecordVersion {
  return {
    schemaVersion: Number(body.schemaVersion),
    writeId: readText(body.writeId),
    by: readText(body.by),
    spec: body.spec,
  };
}

function readPastVersion(body: Record<string, unknown>): PastRecordVersion {
  return {...readVersion(body), revision: Number(body.revision)};
}
