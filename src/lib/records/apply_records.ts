/** Applies changes of the store to the records that a process holds. */
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

/** What a process holds of the records, complete up to a revision. */
export interface RecordsMirror {
  /** Key prefix of the records; changes outside it are passed over. */
  readonly folder: string;
  /** Revision up to which `records` is complete. */
  readonly revision: number;
  readonly records: HeldRecords;
}

/** One record as a process holds it. */
export interface HeldRecord {
  readonly state: RecordState;
  /** Revision of the newest version seen, good or not. */
  readonly revision: number;
  /** The version in force; undefined if none is. */
  readonly inForce: ConfigurationRecord | undefined;
}

/** A version of a record that was not put in force, for logs and operators. */
export interface RecordReport {
  readonly path: string;
  readonly revision: number;
  readonly fault: RecordFault;
  readonly detail: string;
  /** Tells whether an older, good version stays in force. */
  readonly isOlderInForce: boolean;
}

/** All records that a process holds, by path below the records' folder. */
export type HeldRecords = ReadonlyMap<string, HeldRecord>;

/** The records after some changes, and what operators must be told. */
export interface RecordsStep {
  readonly records: HeldRecords;
  readonly reports: readonly RecordReport[];
}

const ABSENT: HeldRecord = {
  state: RECORD_CHART.initial,
  revision: 0,
  inForce: undefined,
};

/**
 * Applies changes in their order and returns the records that follow.
 *
 * A change that is not newer than the mirror is passed over, so that a store
 * that answers from the past takes nothing back.
 */
export function applyRecords(
  mirror: RecordsMirror,
  changes: readonly StoreChange[],
): RecordsStep {
  const next = new Map(mirror.records);
  const reports: RecordReport[] = [];
  let isChanged = false;
  for (const change of changes) {
    const identity = identifyChange(mirror, change);
    if (identity === undefined) continue;
    const path = `${identity.kind}/${identity.name}`;
    const held = next.get(path) ?? ABSENT;
    if (change.revision <= held.revision) continue;
    isChanged = true;
    const parsed = parseChange(identity, change);
    const after = applyChange(held, identity, change, parsed);
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

/** Turns a list of all values into the changes that lead to it. */
export function listChanges(
  heldKeys: Iterable<string>,
  snapshot: StoreSnapshot,
): StoreChange[] {
  const present = new Set(snapshot.values.map(value => value.key));
  const deleted = [...heldKeys].filter(key => !present.has(key));
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
  held: HeldRecord,
  identity: RecordIdentity,
  change: StoreChange,
  parsed: ParsedRecord | undefined,
): HeldRecord {
  const {revision} = change;
  const step = RECORD_CHART.step(held.state, selectEvent(parsed));
  const next = {state: step.state, revision, inForce: held.inForce};
  if (step.actions.includes(RecordAction.WITHDRAW)) {
    return {...next, inForce: undefined};
  }
  if (parsed?.isValid) return {...next, inForce: parsed.record};
  if (step.state !== RecordState.REJECTED) return next;
  return recoverHeld(next, recoverRecord(identity, change.value));
}

/** Puts a good older version, if the history has one, before a rejected one. */
function recoverHeld(
  rejected: HeldRecord,
  older: ConfigurationRecord | undefined,
): HeldRecord {
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
  held: HeldRecord,
  {fault, detail}: Extract<ParsedRecord, {isValid: false}>,
): RecordReport {
  return {
    path,
    revision: held.revision,
    fault,
    detail,
    isOlderInForce: held.inForce !== undefined,
  };
}
