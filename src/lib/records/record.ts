/** Configuration records as the operators write them, after parsing. */

/** Kinds of record that operators write. */
export enum RecordKind {
  DATA_CENTRE = 'data-centre',
  TEAM = 'team',
  TASK_CLASS = 'task-class',
}

/** Whether operators let tasks start in a data centre. */
export enum ServiceState {
  IN = 'in',
  OUT = 'out',
}

/** What a record of kind `DATA_CENTRE` says. */
export interface DataCentreSpecification {
  readonly service: ServiceState;
}

/** What a record of kind `TEAM` says. */
export interface TeamSpecification {
  readonly weight: number;
  readonly slotsAtMost: number;
  readonly tasksPerSecondAtMost: number;
}

/** What a record of kind `TASK_CLASS` says. */
export interface TaskClassSpecification {
  readonly deadlineMs: number;
  readonly runWithinMs: number;
  readonly value: number;
}

/** A valid record, brought to the newest schema version. */
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

/** Names that a record may have. */
export const RECORD_NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

/** Identifies a record. */
export interface RecordIdentity {
  readonly kind: RecordKind;
  readonly name: string;
}

/** Builds the store's key of a record. */
export function formatRecordKey(prefix: string, id: RecordIdentity): string {
  return `${prefix}${RECORDS_FOLDER}${id.kind}/${id.name}`;
}

/** Reads a kind as written in a key or a path; undefined if there is none. */
export function parseRecordKind(text: string): RecordKind | undefined {
  return Object.values(RecordKind).find(kind => kind === text);
}

/** Reads the identity from a key below the records' folder. */
export function parseRecordPath(path: string): RecordIdentity | undefined {
  const [kindText, name, ...rest] = path.split('/');
  const kind = parseRecordKind(kindText);
  if (kind === undefined || rest.length > 0) return undefined;
  if (name === undefined || !RECORD_NAME_PATTERN.test(name)) return undefined;
  return {kind, name};
}
