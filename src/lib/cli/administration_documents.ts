/** The documents of the administration API, as far as the commands read them. */
import type {RevisionStatus} from '../admin/status_report.js';
import type {RecordIdentity, ServiceState} from '../records/record.js';

/** A record as it stands in the store. */
export interface StoredRecord extends RecordIdentity {
  readonly revision: number;
  readonly schemaVersion: number;
  readonly by: string;
  readonly spec: unknown;
  /** Why the newest version is not in force; absent if it is. */
  readonly problem?: {readonly fault: string; readonly detail: string};
}

/** The answer to a change: what was changed and who has it in force. */
export interface ChangeDocument extends RecordIdentity, RevisionStatus {
  readonly isChanged: boolean;
}

/** Whether a data centre is in service, and who has that in force. */
export interface DataCentreDocument extends RevisionStatus {
  readonly name: string;
  readonly service: ServiceState;
  readonly by: string;
}
