/** An entry's local copy of the stored configuration, and the view built from it. */
import {StoreChangeKind} from '../store/platform_store.js';
import type {
  StoreChange,
  StoreChanges,
  StoreSnapshot,
} from '../store/platform_store.js';
import {applyRecords, listChanges} from './apply_records.js';
import type {MirroredRecords, RecordReport} from './apply_records.js';
import {EMPTY_VIEW, buildRecordsView, parseEntryAddress} from './build_view.js';
import type {ConfigurationView, EntryAddress} from './configuration_view.js';
import {ENTRIES_FOLDER, RECORDS_FOLDER} from './record.js';

/** A newer configuration received from a peer; it may be partial. */
export type ReceivedConfiguration = Pick<ConfigurationView, 'revision'> &
  Partial<ConfigurationView>;

/** An entry's copy of the configuration; immutable, replaced by each update. */
export interface ConfigurationMirror {
  readonly prefix: string;
  /** Revision up to which the copy of the store's values is complete. */
  readonly revision: number;
  readonly records: MirroredRecords;
  readonly entries: ReadonlyMap<string, EntryAddress>;
  /** The view in force; newer than `revision` after an update from a peer. */
  readonly view: ConfigurationView;
}

/** How a reply of the store compares with the configuration in force. */
export enum ReplyStatus {
  /** The reply confirms the view in force as the newest. */
  CURRENT = 'confirming',
  /** The reply is older than the mirror or the view in force. */
  STALE = 'stale',
  /** The store has compacted the changes; all values must be listed again. */
  COMPACTED = 'compacted',
}

/** The mirror after a reply, and the record versions that were rejected. */
export interface MirrorUpdate {
  readonly status: ReplyStatus;
  readonly mirror: ConfigurationMirror;
  readonly reports: readonly RecordReport[];
}

/** Creates an empty mirror. */
export function createMirror(prefix: string): ConfigurationMirror {
  return {
    prefix,
    revision: 0,
    records: new Map(),
    entries: new Map(),
    view: EMPTY_VIEW,
  };
}

/** Applies a list of all values under the prefix. */
export function applySnapshot(
  mirror: ConfigurationMirror,
  snapshot: StoreSnapshot,
): MirrorUpdate {
  if (snapshot.revision < mirror.revision) return ignoreReply(mirror);
  const changes = listChanges(listKeys(mirror), snapshot);
  return applyChanges(mirror, changes, snapshot.revision);
}

/** Applies a reply to a watch call. */
export function applyWatch(
  mirror: ConfigurationMirror,
  reply: StoreChanges,
): MirrorUpdate {
  if (reply.isCompacted) {
    return {status: ReplyStatus.COMPACTED, mirror, reports: []};
  }
  if (reply.revision < mirror.revision) return ignoreReply(mirror);
  return applyChanges(mirror, reply.changes, reply.revision);
}

/**
 * Puts a newer configuration received from a peer in force. The mirror still
 * follows the store from its own revision; the store's values replace the peer's
 * once they are at least as new.
 */
export function applyPeerConfiguration(
  mirror: ConfigurationMirror,
  received: ReceivedConfiguration,
): ConfigurationMirror {
  if (received.revision <= mirror.view.revision) return mirror;
  return {...mirror, view: {...mirror.view, ...received}};
}

function ignoreReply(mirror: ConfigurationMirror): MirrorUpdate {
  return {status: ReplyStatus.STALE, mirror, reports: []};
}

function listKeys({prefix, records, entries}: ConfigurationMirror): string[] {
  return [
    ...[...records.keys()].map(path => prefix + RECORDS_FOLDER + path),
    ...[...entries.keys()].map(id => prefix + ENTRIES_FOLDER + id),
  ];
}

function applyChanges(
  mirror: ConfigurationMirror,
  changes: readonly StoreChange[],
  revision: number,
): MirrorUpdate {
  const folder = mirror.prefix + RECORDS_FOLDER;
  const {records, reports} = applyRecords({...mirror, folder}, changes);
  const entries = applyEntries(mirror, changes);
  const next = {...mirror, revision, records, entries};
  if (revision < mirror.view.revision) {
    return {status: ReplyStatus.STALE, mirror: next, reports};
  }
  return {
    status: ReplyStatus.CURRENT,
    mirror: {...next, view: buildView(mirror, next)},
    reports,
  };
}

function applyEntries(
  mirror: ConfigurationMirror,
  changes: readonly StoreChange[],
): ReadonlyMap<string, EntryAddress> {
  const folder = mirror.prefix + ENTRIES_FOLDER;
  const relevant = changes.filter(
    ({key, revision}) => key.startsWith(folder) && revision > mirror.revision,
  );
  if (relevant.length === 0) return mirror.entries;
  const entries = new Map(mirror.entries);
  for (const {kind, key, value} of relevant) {
    const id = key.slice(folder.length);
    const address =
      kind === StoreChangeKind.WRITTEN ? parseEntryAddress(value) : undefined;
    if (address === undefined) entries.delete(id);
    else entries.set(id, {...address, id});
  }
  return entries;
}

/** Builds a view; unchanged parts keep their object identity. */
function buildView(
  before: ConfigurationMirror,
  after: ConfigurationMirror,
): ConfigurationView {
  const {view} = before;
  const isFromStore = view.revision === before.revision;
  if (isFromStore && after.revision === view.revision) return view;
  const recordsView =
    isFromStore && after.records === before.records
      ? view
      : buildRecordsView(after.records);
  const entries =
    isFromStore && after.entries === before.entries
      ? view.entries
      : [...after.entries.values()];
  return {
    revision: after.revision,
    dataCentresOut: recordsView.dataCentresOut,
    teams: recordsView.teams,
    taskClasses: recordsView.taskClasses,
    entries,
  };
}
