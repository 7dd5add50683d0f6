/** What an entry holds of the store's configuration, and the view it gives. */
import {StoreChangeKind} from '../store/platform_store.js';
import type {
  StoreChange,
  StoreChanges,
  StoreSnapshot,
} from '../store/platform_store.js';
import {applyRecords, listChanges} from './apply_records.js';
import type {HeldRecords, RecordReport} from './apply_records.js';
import {EMPTY_VIEW, buildRecordsView, parseEntryAddress} from './build_view.js';
import type {ConfigurationView, EntryAddress} from './configuration_view.js';
import {ENTRIES_FOLDER, RECORDS_FOLDER} from './record.js';

/** What a peer tells of a newer configuration; it may know only a part. */
export type LearnedConfiguration = Pick<ConfigurationView, 'revision'> &
  Partial<ConfigurationView>;

/** The configuration as an entry holds it. Values only, replaced as a whole. */
export interface ConfigurationMirror {
  readonly prefix: string;
  /** Revision up to which the store's values are held completely. */
  readonly revision: number;
  readonly records: HeldRecords;
  readonly entries: ReadonlyMap<string, EntryAddress>;
  /** The view in force; its revision is above the mirror's after learning. */
  readonly view: ConfigurationView;
}

/** What a reply of the store amounts to. */
export enum ReplyStanding {
  /** The reply confirms the view in force as the newest. */
  CONFIRMING = 'confirming',
  /** The reply is older than what is held or in force. */
  STALE = 'stale',
  /** The store no longer holds the changes; everything is to be listed. */
  COMPACTED = 'compacted',
}

/** The mirror after a reply. */
export interface MirrorStep {
  readonly standing: ReplyStanding;
  readonly mirror: ConfigurationMirror;
  readonly reports: readonly RecordReport[];
}

/** Creates the mirror of a process that has received nothing yet. */
export function createMirror(prefix: string): ConfigurationMirror {
  return {
    prefix,
    revision: 0,
    records: new Map(),
    entries: new Map(),
    view: EMPTY_VIEW,
  };
}

/** Applies the list of all values under the prefix. */
export function applySnapshot(
  mirror: ConfigurationMirror,
  snapshot: StoreSnapshot,
): MirrorStep {
  if (snapshot.revision < mirror.revision) return ignoreReply(mirror);
  const changes = listChanges(listKeys(mirror), snapshot);
  return applyChanges(mirror, changes, snapshot.revision);
}

/** Applies the reply of a watch. */
export function applyWatch(
  mirror: ConfigurationMirror,
  reply: StoreChanges,
): MirrorStep {
  if (reply.isCompacted) {
    return {standing: ReplyStanding.COMPACTED, mirror, reports: []};
  }
  if (reply.revision < mirror.revision) return ignoreReply(mirror);
  return applyChanges(mirror, reply.changes, reply.revision);
}

/**
 * Puts a newer configuration in force that a peer has told. The store's values
 * are still followed from where they were; they replace what was learned as
 * soon as they are as new.
 */
export function learnConfiguration(
  mirror: ConfigurationMirror,
  learned: LearnedConfiguration,
): ConfigurationMirror {
  if (learned.revision <= mirror.view.revision) return mirror;
  return {...mirror, view: {...mirror.view, ...learned}};
}

function ignoreReply(mirror: ConfigurationMirror): MirrorStep {
  return {standing: ReplyStanding.STALE, mirror, reports: []};
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
): MirrorStep {
  const folder = mirror.prefix + RECORDS_FOLDER;
  const {records, reports} = applyRecords({...mirror, folder}, changes);
  const entries = applyEntries(mirror, changes);
  const next = {...mirror, revision, records, entries};
  if (revision < mirror.view.revision) {
    return {standing: ReplyStanding.STALE, mirror: next, reports};
  }
  return {
    standing: ReplyStanding.CONFIRMING,
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

/** Builds a view; parts that did not change stay the same objects. */
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
