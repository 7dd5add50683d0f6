/** Plans the store call that makes a change of a record. */
import {isDeepStrictEqual} from 'node:util';
import {ABSENT_REVISION} from '../store/platform_store.js';
import type {StoredValue} from '../store/platform_store.js';
import {parseEnvelope, parseVersion} from '../records/record_body.js';
import type {
  PastRecordVersion,
  RecordEnvelope,
  RecordVersion,
} from '../records/record_body.js';
import type {RecordIdentity} from '../records/record.js';
import {
  AdministrationProblem,
  createRefusal,
} from './administration_problem.js';
import type {AdministrationRefusal} from './administration_problem.js';

/** Number of replaced versions kept in a record's history. */
export const HISTORY_LENGTH = 8;

/** Conditions on the stored record under which a change is made. */
export enum PreconditionKind {
  /** None: the change applies to any version, and may conflict with concurrent changes. */
  NONE = 'none',
  /** The record is at the given revision. */
  REVISION = 'revision',
  /** The record does not exist. */
  ABSENT = 'absent',
}

/** A precondition; `revision` is used by the kind `REVISION` only. */
export interface Precondition {
  readonly kind: PreconditionKind;
  readonly revision: number;
}

/** A change requested by an operator. */
export interface RecordChange {
  readonly identity: RecordIdentity;
  /** The version to write; undefined to delete the record. */
  readonly version: RecordVersion | undefined;
  readonly precondition: Precondition;
}

/** Kinds of plan for a change. */
export enum WritePlanKind {
  WRITE = 'write',
  REMOVE = 'remove',
  /** A write with the same id has taken effect before. */
  ALREADY_APPLIED = 'keep',
  REFUSE = 'refuse',
}

/** Plan for one change: a store call, a no-op or a refusal. */
export type WritePlan =
  | {
      readonly kind: WritePlanKind.WRITE;
      readonly value: string;
      readonly expectedRevision: number;
    }
  | {
      readonly kind: WritePlanKind.REMOVE;
      readonly expectedRevision: number;
    }
  | {readonly kind: WritePlanKind.ALREADY_APPLIED; readonly revision: number}
  | {
      readonly kind: WritePlanKind.REFUSE;
      readonly refusal: AdministrationRefusal;
    };

/** Plans a change, given the stored value of the record. */
export function planWrite(
  change: RecordChange,
  found: StoredValue | undefined,
): WritePlan {
  const refusal =
    checkVersion(change) ??
    checkWriteId(change, found) ??
    (isWritten(change, found) ? undefined : checkPrecondition(change, found));
  if (refusal !== undefined) return {kind: WritePlanKind.REFUSE, refusal};
  const revision = findWrite(found, change.version?.writeId);
  if (revision !== undefined) {
    return {kind: WritePlanKind.ALREADY_APPLIED, revision};
  }
  const expectedRevision = found?.revision ?? ABSENT_REVISION;
  if (change.version === undefined) {
    return {kind: WritePlanKind.REMOVE, expectedRevision};
  }
  const value = formatRecord(change.identity, change.version, found);
  return {kind: WritePlanKind.WRITE, value, expectedRevision};
}

/**
 * Finds the revision at which a write took effect, also if the record has been
 * written again since; undefined if neither record nor history has the write.
 */
export function findWrite(
  found: StoredValue | undefined,
  writeId: string | undefined,
): number | undefined {
  if (found === undefined || writeId === undefined) return undefined;
  return listVersions(found).find(version => version.writeId === writeId)
    ?.revision;
}

/** Lists the versions of a stored record, newest first. */
export function listVersions(found: StoredValue): PastRecordVersion[] {
  const envelope = parseEnvelope(found.value);
  if (envelope === undefined) return [];
  return [toPastVersion(envelope, found.revision), ...envelope.history];
}

function checkVersion({
  identity,
  version,
}: RecordChange): AdministrationRefusal | undefined {
  if (version === undefined) return undefined;
  const parsed = parseVersion(identity, version);
  if (parsed.isValid) return undefined;
  const detail = `${identity.kind}/${identity.name}: ${parsed.detail}.`;
  return createRefusal(AdministrationProblem.RECORD_INVALID, detail);
}

function isWritten(
  {version}: RecordChange,
  found: StoredValue | undefined,
): boolean {
  return findWrite(found, version?.writeId) !== undefined;
}

/** Refuses a write id that an earlier write with other content has used. */
function checkWriteId(
  {version}: RecordChange,
  found: StoredValue | undefined,
): AdministrationRefusal | undefined {
  if (version === undefined || found === undefined) return undefined;
  const earlier = listVersions(found).find(
    past => past.writeId === version.writeId,
  );
  if (earlier === undefined) return undefined;
  const isSame =
    earlier.schemaVersion === version.schemaVersion &&
    isDeepStrictEqual(earlier.spec, version.spec);
  if (isSame) return undefined;
  return createRefusal(
    AdministrationProblem.CONFLICT,
    `The write id ${version.writeId} was used for another change; nothing was changed.`,
    found.revision,
  );
}

function checkPrecondition(
  {precondition, version}: RecordChange,
  found: StoredValue | undefined,
): AdministrationRefusal | undefined {
  const currentRevision = found?.revision ?? ABSENT_REVISION;
  const requiredRevision = selectRequiredRevision(precondition);
  if (requiredRevision !== undefined && requiredRevision !== currentRevision) {
    return createRefusal(
      AdministrationProblem.PRECONDITION_FAILED,
      `The record stands at revision ${currentRevision}, not ${requiredRevision}; nothing was changed.`,
      currentRevision,
    );
  }
  if (version !== undefined || found !== undefined) return undefined;
  return createRefusal(
    AdministrationProblem.NOT_FOUND,
    'There is no such record; nothing was changed.',
  );
}

function selectRequiredRevision({
  kind,
  revision,
}: Precondition): number | undefined {
  switch (kind) {
    case PreconditionKind.NONE:
      return undefined;
    case PreconditionKind.REVISION:
      return revision;
    case PreconditionKind.ABSENT:
      return ABSENT_REVISION;
  }
}

function formatRecord(
  {kind, name}: RecordIdentity,
  version: RecordVersion,
  found: StoredValue | undefined,
): string {
  const past = found === undefined ? [] : listVersions(found);
  const envelope: RecordEnvelope = {
    schemaVersion: version.schemaVersion,
    kind,
    name,
    writeId: version.writeId,
    by: version.by,
    spec: version.spec,
    history: past.slice(0, HISTORY_LENGTH),
  };
  return JSON.stringify(envelope);
}

function toPastVersion(
  {schemaVersion, writeId, by, spec}: RecordVersion,
  revision: number,
): PastRecordVersion {
  return {revision, schemaVersion, writeId, by, spec};
}
