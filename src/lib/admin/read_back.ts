/** Decides what became of a write whose reply was lost. */
import {ABSENT_REVISION} from '../store/platform_store.js';
import type {StoredValue} from '../store/platform_store.js';
import {findWrite, listVersions} from './write_plan.js';

/** What the store shows of a write. */
export enum WriteTrace {
  /** The write took effect. */
  TOOK_EFFECT = 'took-effect',
  /** There is no sign of it yet; it may still be on its way. */
  NOT_YET = 'not-yet',
  /** Another change took its place: it never took effect and never will. */
  OVERTAKEN = 'overtaken',
  /** What stands does not tell. */
  UNTRACEABLE = 'untraceable',
}

/** What the store shows of a write, and the revision that it shows. */
export interface ReadBack {
  readonly trace: WriteTrace;
  /** Revision of the write, or of what stands in its place. */
  readonly revision: number;
}

/** A value read back, and the store's revision at which it was read. */
export interface FoundValue {
  readonly found: StoredValue | undefined;
  readonly snapshotRevision: number;
}

/** Decides from the value that stands whether a write took effect. */
export function judgeWrite(
  value: FoundValue,
  writeId: string,
  expectedRevision: number,
): ReadBack {
  const written = findWrite(value.found, writeId);
  if (written !== undefined) {
    return {trace: WriteTrace.TOOK_EFFECT, revision: written};
  }
  return judgeStanding(value, expectedRevision);
}

/** Decides from the value that stands whether a deletion took effect. */
export function judgeRemoval(
  value: FoundValue,
  expectedRevision: number,
): ReadBack {
  const {found, snapshotRevision} = value;
  if (found === undefined && snapshotRevision > expectedRevision) {
    return {trace: WriteTrace.TOOK_EFFECT, revision: snapshotRevision};
  }
  return judgeStanding(value, expectedRevision);
}

function judgeStanding(
  {found, snapshotRevision}: FoundValue,
  expectedRevision: number,
): ReadBack {
  const revision = found?.revision ?? ABSENT_REVISION;
  const isStale = snapshotRevision < expectedRevision;
  if (isStale || revision === expectedRevision) {
    return {trace: WriteTrace.NOT_YET, revision};
  }
  // Whoever replaced the expected version kept it in the history, so no other
  // write can have come between the two.
  const isReplaced =
    found !== undefined &&
    listVersions(found).some(version => version.revision === expectedRevision);
  const trace = isReplaced ? WriteTrace.OVERTAKEN : WriteTrace.UNTRACEABLE;
  return {trace, revision};
}
