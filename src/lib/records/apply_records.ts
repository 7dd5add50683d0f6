/** Applies changes reported by the store to the local copy of the records. */
import {StoreChangeKind} from '../store/platform_store.js';
import type {StoreChange, StoreSnapshot} from '../store/platform_store.js';
import {parseRecordPath} from './record.js';
import type {ConfigurationRecord, RecordIdentity} from './record.js';
import {parseRecord, recoverRecord} from './record_body.js';
import type {ParsedRecord, RecordFault} from './record_body.js';
import {
  RECORD_CHART,
  RecordAction,
  RecordEvent,
  RecordState,
} from './record_chart.js';

/** Local copy of the records, complete up to a revision of the store. */
export interface RecordsMirror {
  /** Key prefix of the records; changes outside it are ignored. */
  readonly folder: string;
  /** Revision up to which `records` is complete. */
  readonly revision: number;
  readonly records: MirroredRecords;
}

/** Local copy of one record. */
export interface MirroredRecord {
  readonly state: RecordState;
  /** Revision of the newest version seen, valid or not. */
  readonly revision: number;
  /** The version in force; undefined if none is. */
  readonly inForce: ConfigurationRecord | undefined;
}

/** A rejected version of a record, for logs and operators. */
export interface RecordReport {
  readonly path: string;
  readonly revision: number;
  readonly fault: RecordFault;
  readonly detail: string;
  /** Whether an older, valid version stays in force. */
  readonly isOlderInForce: boolean;
}

/** Local copies of all records, by path below the records' folder. */
export type MirroredRecords = ReadonlyMap<string, MirroredRecord>;

/** The records after a batch of changes, and the versions that were rejected. */
export interface RecordsUpdate {
  readonly records: MirroredRecords;
  readonly reports: readonly RecordReport[];
}

const ABSENT: MirroredRecord = {
  state: RECORD_CHART.initial,
  revision: 0,
  inForce: undefined,
};

/**
 * Applies changes in order and returns the resulting records.
 *
 * Ignores changes that are not newer than the mirror, so that a reply from a
 * stale replica of the store reverts nothing.
 */
export function applyRecords(
  mirror: RecordsMirror,
  changes: readonly StoreChange[],
): RecordsUpdate {
  const next = new Map(mirror.records);
  const reports: RecordReport[] = [];
  let isChanged = false;
  for (const change of changes) {
    const identity = identifyChange(mirror, change);
    if (identity === undefined) continue;
    const path = `${identity.kind}/${identity.name}`;
    const current = next.get(path) ?? ABSENT;
    if (change.revision <= current.revision) continue;
    isChanged = true;
    const parsed = parseChange(identity, change);
    const after = applyChange(current, identity, change, parsed);
    if (after.state === RecordState.ABSENT) next.delete(path);
    else next.set(path, after);
    if (parsed?.isValid === false) {
      reports.push(createReport(path, after, parsed));
    }
  }
  return {records: isChanged ? next : mirror.records, reports};
}

function identifyChange(
  {folder, revision}: RecordsMirror,
  change: StoreChange,
): RecordIdentity | undefined {
  if (change.revision <= revision || !change.key.startsWith(folder)) {
    return undefined;
  }
  return parseRecordPath(change.key.slice(folder.length));
}

/** Converts a snapshot into changes, with a deletion for each key it lacks. */
export function listChanges(
  mirroredKeys: Iterable<string>,
  snapshot: StoreSnapshot,
): StoreChange[] {
  const present = new Set(snapshot.values.map(value => value.key));
  const deleted = [...mirroredKeys].filter(key => !present.has(key));
  return [
    ...deleted.map(key => ({
      kind: StoreChangeKind.DELETED,
      key,
      value: '',
      revision: snapshot.revision,
    })),
    ...snapshot.values.map(value => ({
      kind: StoreChangeKind.WRITTEN,
      ...value,
    })),
  ];
}

function parseChange(
  identity: RecordIdentity,
  change: StoreChange,
): ParsedRecord | undefined {
  if (change.kind === StoreChangeKind.DELETED) return undefined;
  return parseRecord(identity, change.value);
}

function applyChange(
  current: MirroredRecord,
  identity: RecordIdentity,
  change: StoreChange,
  parsed: ParsedRecord | undefined,
): MirroredRecord {
  const {revision} = change;
  const step = RECORD_CHART.step(current.state, selectEvent(parsed));
  const next = {state: step.state, revision, inForce: current.inForce};
  if (step.actions.includes(RecordAction.WITHDRAW)) {
    return {...next, inForce: undefined};
  }
  if (parsed?.isValid) return {...next, inForce: parsed.record};
  if (step.state !== RecordState.REJECTED) return next;
  return recoverFromHistory(next, recoverRecord(identity, change.value));
}

/** Puts the valid older version from the history, if any, in force. */
function recoverFromHistory(
  rejected: MirroredRecord,
  older: ConfigurationRecord | undefined,
): MirroredRecord {
  if (older === undefined) return rejected;
  const accepted = RECORD_CHART.step(rejected.state, RecordEvent.ACCEPT);
  const held = RECORD_CHART.step(accepted.state, RecordEvent.REJECT);
  return {...rejected, state: held.state, inForce: older};
}

function selectEvent(parsed: ParsedRecord | undefined): RecordEvent {
  if (parsed === undefined) return RecordEvent.REMOVE;
  return parsed.isValid ? RecordEvent.ACCEPT : RecordEvent.REJECT;
}

function createReport(
  path: string,
  current: MirroredRecord,
  {fault, detail}: Extract<ParsedRecord, {isValid: false}>,
): RecordReport {
  return {
    path,
    revision: current.revision,
    fault,
    detail,
    isOlderInForce: current.inForce !== undefined,
  };
}
