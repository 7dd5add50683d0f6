/** Parsed configuration records, their kinds, names and keys in the store. */

/** Kinds of record that operators write. */
export enum RecordKind {
  DATA_CENTRE = 'data-centre',
  TEAM = 'team',
  TASK_CLASS = 'task-class',
}

/** Whether a data centre is in service, so that tasks may start there. */
export enum ServiceState {
  IN = 'in',
  OUT = 'out',
}

/** Specification of a record of kind `DATA_CENTRE`. */
export interface DataCentreSpecification {
  readonly service: ServiceState;
}

/** Specification of a record of kind `TEAM`. */
export interface TeamSpecification {
  readonly weight: number;
  readonly slotsAtMost: number;
  readonly tasksPerSecondAtMost: number;
}

/** Specification of a record of kind `TASK_CLASS`. */
export interface TaskClassSpecification {
  readonly deadlineMs: number;
  readonly runWithinMs: number;
  readonly value: number;
}

/** A valid record, upgraded to the newest schema version. */
export type ConfigurationRecord =
  | {
      readonly kind: RecordKind.DATA_CENTRE;
      readonly name: string;
      readonly specification: DataCentreSpecification;
    }
  | {
      readonly kind: RecordKind.TEAM;
      readonly name: string;
      readonly specification: TeamSpecification;
    }
  | {
      readonly kind: RecordKind.TASK_CLASS;
      readonly name: string;
      readonly specification: TaskClassSpecification;
    };

/** Newest schema version that this program reads and writes. */
export const NEWEST_SCHEMA_VERSION = 1;

/** Folder of the operators' records under the store's prefix. */
export const RECORDS_FOLDER = 'records/';

/** Folder of the registered entries under the store's prefix. */
export const ENTRIES_FOLDER = 'entries/';

/** Pattern that record names must match. */
export const RECORD_NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

/** Kind and name, which together identify a record. */
export interface RecordIdentity {
  readonly kind: RecordKind;
  readonly name: string;
}

/** Formats the key under which a record is stored. */
export function formatRecordKey(prefix: string, id: RecordIdentity): string {
  return `${prefix}${RECORDS_FOLDER}${id.kind}/${id.name}`;
}

/** Parses a kind in a key or path; returns undefined if it is not known. */
export function parseRecordKind(text: string): RecordKind | undefined {
  return Object.values(RecordKind).find(kind => kind === text);
}

/** Parses the part of a key below the records' folder; returns undefined if it is malformed. */
export function parseRecordPath(path: string): RecordIdentity | undefined {
  const [kindText, name, ...rest] = path.split('/');
  const kind = parseRecordKind(kindText);
  if (kind === undefined || rest.length > 0) return undefined;
  if (name === undefined || !RECORD_NAME_PATTERN.test(name)) return undefined;
  return {kind, name};
}
