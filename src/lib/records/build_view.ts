/** Builds an entry's configuration view from its copy of the records. */
import type {MirroredRecords} from './apply_records.js';
import type {
  ConfigurationView,
  EntryAddress,
  TaskClassConfiguration,
  TeamConfiguration,
} from './configuration_view.js';
import {RecordKind, ServiceState} from './record.js';

/** The part of a view that comes from operators' records. */
export type RecordsView = Pick<
  ConfigurationView,
  'dataCentresOut' | 'teams' | 'taskClasses'
>;

/** The view before any configuration has been received. */
export const EMPTY_VIEW: ConfigurationView = {
  revision: 0,
  dataCentresOut: [],
  teams: new Map(),
  taskClasses: new Map(),
  entries: [],
};

/** Builds the records' part of a view from the versions in force. */
export function buildRecordsView(records: MirroredRecords): RecordsView {
  const dataCentresOut: string[] = [];
  const teams = new Map<string, TeamConfiguration>();
  const taskClasses = new Map<string, TaskClassConfiguration>();
  for (const {inForce} of records.values()) {
    switch (inForce?.kind) {
      case undefined:
        break;
      case RecordKind.DATA_CENTRE:
        if (inForce.specification.service === ServiceState.OUT) {
          dataCentresOut.push(inForce.name);
        }
        break;
      case RecordKind.TEAM:
        teams.set(inForce.name, {name: inForce.name, ...inForce.specification});
        break;
      case RecordKind.TASK_CLASS:
        taskClasses.set(inForce.name, {
          name: inForce.name,
          ...inForce.specification,
        });
        break;
    }
  }
  dataCentresOut.sort();
  return {dataCentresOut, teams, taskClasses};
}

/** Parses an entry's registration; returns undefined if it is malformed. */
export function parseEntryAddress(text: string): EntryAddress | undefined {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return undefined;
  }
  if (typeof body !== 'object' || body === null) return undefined;
  const {id, incarnation, address} = body as Partial<EntryAddress>;
  if (typeof id !== 'string' || typeof incarnation !== 'string') {
    return undefined;
  }
  return typeof address === 'string' ? {id, incarnation, address} : undefined;
}
