/** Parses stored records: the envelope, the current version and the history. */
import {NEWEST_SCHEMA_VERSION} from './record.js';
import type {ConfigurationRecord, RecordIdentity} from './record.js';
import {
  describeViolations,
  findReader,
  listSchemaVersions,
} from './record_schema.js';

/** Why a version of a record is rejected. */
export enum RecordFault {
  /** The value is not a JSON object or lacks a field that every version has. */
  BODY_MALFORMED = 'body-broken',
  /** The kind or name in the value differs from that in its key. */
  IDENTITY_MISMATCH = 'identity-wrong',
  /** The schema version is newer than any that this program reads. */
  SCHEMA_NEWER = 'schema-newer',
  /** The schema version is older than any that this program reads. */
  SCHEMA_UNSUPPORTED = 'schema-unknown',
  /** The specification does not fit its schema. */
  SPECIFICATION_INVALID = 'specification-invalid',
}

/** One version of a record and its author. */
export interface RecordVersion {
  readonly schemaVersion: number;
  /** Random id chosen by the writer; distinguishes a lost reply from a conflict. */
  readonly writeId: string;
  readonly by: string;
  /** Not yet validated against the schema of the kind and version. */
  readonly spec: unknown;
}

/** A replaced version and the revision at which it was written. */
export interface PastRecordVersion extends RecordVersion {
  readonly revision: number;
}

/** Fields that every schema version of a record has. */
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

/** Parses the fields common to all schema versions; returns undefined if malformed. */
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
    kind: readString(body.kind),
    name: readString(body.name),
    history: Array.isArray(body.history)
      ? body.history.filter(isObject).map(readPastVersion)
      : [],
  };
}

/** Validates one version of a record and upgrades it to the newest schema. */
export function parseVersion(
  identity: RecordIdentity,
  version: RecordVersion,
): ParsedRecord {
  const {kind, name} = identity;
  const reader = findReader(kind, version.schemaVersion);
  if (reader === undefined) return rejectSchema(identity, version);
  if (!reader.validate(version.spec)) {
    const detail = describeViolations(reader.validate);
    return rejectRecord(RecordFault.SPECIFICATION_INVALID, detail);
  }
  return {isValid: true, record: reader.upgrade(name, version.spec)};
}

/** Parses and validates the stored text of a record. */
export function parseRecord(
  identity: RecordIdentity,
  text: string,
): ParsedRecord {
  const envelope = parseEnvelope(text);
  if (envelope === undefined) {
    return rejectRecord(
      RecordFault.BODY_MALFORMED,
      'the value is no JSON object with a whole number "schemaVersion"',
    );
  }
  if (envelope.kind !== identity.kind || envelope.name !== identity.name) {
    return rejectRecord(
      RecordFault.IDENTITY_MISMATCH,
      `the value is of ${envelope.kind}/${envelope.name}`,
    );
  }
  return parseVersion(identity, envelope);
}

/**
 * Finds the newest valid version in a record's history. A process that starts
 * while the current version has a newer schema than it reads falls back to this
 * one.
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
    isNewer ? RecordFault.SCHEMA_NEWER : RecordFault.SCHEMA_UNSUPPORTED,
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

function readString(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

function readVersion(body: Record<string, unknown>): RecordVersion {
  return {
    schemaVersion: Number(body.schemaVersion),
    writeId: readString(body.writeId),
    by: readString(body.by),
    spec: body.spec,
  };
}

function readPastVersion(body: Record<string, unknown>): PastRecordVersion {
  return {...readVersion(body), revision: Number(body.revision)};
}
