/** Decides what a change of a record asks of the store. */
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

/** Replaced versions that a record keeps. */
export const HISTORY_LENGTH = 8;

/** What must stand in the store for a change to be made. */
export enum PreconditionKind {
  /** Whatever stands now; a change that races with this one wins or loses. */
  NONE = 'none',
  /** The record at a revision that the operator has seen. */
  REVISION = 'revision',
  /** No record. */
  ABSENT = 'absent',
}

/** A precondition with its revision, which only `REVISION` uses. */
export interface Precondition {
  readonly kind: PreconditionKind;
  readonly revision: number;
}

/** A change that an operator asks for. */
export interface RecordChange {
  readonly identity: RecordIdentity;
  /** The version to write; undefined to delete the record. */
  readonly version: RecordVersion | undefined;
  readonly precondition: Precondition;
}

/** Ways to carry out a change. */
export enum WritePlanKind {
  WRITE = 'write',
  REMOVE = 'remove',
  /** The write, known by its id, took effect before. */
  KEEP = 'keep',
  REFUSE = 'refuse',
}

/** What to ask of the store for one change. */
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
  | {readonly kind: WritePlanKind.KEEP; readonly revision: number}
  | {
      readonly kind: WritePlanKind.REFUSE;
      readonly refusal: AdministrationRefusal;
    };

/** Decides how a change is made to the value that stands in the store. */
export function planWrite(
  change: RecordChange,
  found: StoredValue | undefined,
): WritePlan {
  const refusal =
    checkVersion(change) ??
    checkWriteId(change, found) ??
    (isWritten(change, found) ? undefined : checkStanding(change, found));
  if (refusal !== undefined) return {kind: WritePlanKind.REFUSE, refusal};
  const revision = findWrite(found, change.version?.writeId);
  if (revision !== undefined) return {kind: WritePlanKind.KEEP, revision};
  const expectedRevision = found?.revision ?? ABSENT_REVISION;
  if (change.version === undefined) {
    return {kind: WritePlanKind.REMOVE, expectedRevision};
  }
  const value = formatRecord(change.identity, change.version, found);
  return {kind: WritePlanKind.WRITE, value, expectedRevision};
}

/**
 * Finds the revision at which a write took effect, though the record may have
 * been written again since; undefined if there is no trace of it.
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

/** Refuses the id of an earlier write for a write of something else. */
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

function checkStanding(
  {precondition, version}: RecordChange,
  found: StoredValue | undefined,
): AdministrationRefusal | undefined {
  const standing = found?.revision ?? ABSENT_REVISION;
  const wanted = selectWantedRevision(precondition);
  if (wanted !== undefined && wanted !== standing) {
    return createRefusal(
      AdministrationProblem.PRECONDITION_FAILED,
      `The record stands at revision ${standing}, not ${wanted}; nothing was changed.`,
      standing,
    );
  }
  if (version !== undefined || found !== undefined) return undefined;
  return createRefusal(
    AdministrationProblem.NOT_FOUND,
    'There is no such record; nothing was changed.',
  );
}

function selectWantedRevision({
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
