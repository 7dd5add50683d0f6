/** Builds the view that an entry's tasks receive from the records it holds. */
import type {HeldRecords} from './apply_records.js';
import type {
  ConfigurationView,
  EntryAddress,
  TaskClassConfiguration,
  TeamConfiguration,
} from './configuration_view.js';
import {RecordKind, ServiceState} from './record.js';

/** What operators' records contribute to a view. */
export type RecordsView = Pick<
  ConfigurationView,
  'dataCentresOut' | 'teams' | 'taskClasses'
>;

/** The view of a process that has received nothing yet. */
export const EMPTY_VIEW: ConfigurationView = {
  revision: 0,
  dataCentresOut: [],
  teams: new Map(),
  taskClasses: new Map(),
  entries: [],
};

/** Builds what the records in force say. */
export function buildRecordsView(records: HeldRecords): RecordsView {
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

/** Reads an entry's registration; undefined if it is broken. */
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
