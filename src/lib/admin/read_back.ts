/** Determines the outcome of a write whose reply was lost. */
import {ABSENT_REVISION} from '../store/platform_store.js';
import type {StoredValue} from '../store/platform_store.js';
import {findWrite, listVersions} from './write_plan.js';

/** Outcome of a write, as far as the stored record shows it. */
export enum WriteOutcome {
  /** The write took effect. */
  APPLIED = 'took-effect',
  /** The write has not taken effect yet; it may still be in flight. */
  PENDING = 'not-yet',
  /** Another write replaced the expected revision: this one can never take effect. */
  CONFLICTED = 'overtaken',
  /** The stored record does not show whether the write took effect. */
  UNKNOWN = 'untraceable',
}

/** Result of reading a record back after a lost reply. */
export interface ReadBack {
  readonly outcome: WriteOutcome;
  /** Revision of the write, or of the record that is stored instead. */
  readonly revision: number;
}

/** A stored value, and the store's revision at which it was read. */
export interface FoundValue {
  readonly found: StoredValue | undefined;
  readonly snapshotRevision: number;
}

/** Determines from the stored value whether a write took effect. */
export function classifyWrite(
  value: FoundValue,
  writeId: string,
  expectedRevision: number,
): ReadBack {
  const written = findWrite(value.found, writeId);
  if (written !== undefined) {
    return {outcome: WriteOutcome.APPLIED, revision: written};
  }
  return classifyByRevision(value, expectedRevision);
}

/** Determines from the stored value whether a deletion took effect. */
export function classifyRemoval(
  value: FoundValue,
  expectedRevision: number,
): ReadBack {
  const {found, snapshotRevision} = value;
  if (found === undefined && snapshotRevision > expectedRevision) {
    return {outcome: WriteOutcome.APPLIED, revision: snapshotRevision};
  }
  return classifyByRevision(value, expectedRevision);
}

function classifyByRevision(
  {found, snapshotRevision}: FoundValue,
  expectedRevision: number,
): ReadBack {
  const revision = found?.revision ?? ABSENT_REVISION;
  const isStale = snapshotRevision < expectedRevision;
  if (isStale || revision === expectedRevision) {
    return {outcome: WriteOutcome.PENDING, revision};
  }
  // The write that replaced the expected version recorded it in the history, and
  // a deletion would have ended the history. So if it lists the expected version,
  // another write replaced that version directly.
  const isReplaced =
    found !== undefined &&
    listVersions(found).some(version => version.revision === expectedRevision);
  const outcome = isReplaced ? WriteOutcome.CONFLICTED : WriteOutcome.UNKNOWN;
  return {outcome, revision};
}
