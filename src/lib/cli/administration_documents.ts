/** Documents of the administration API: the fields that the commands read. */
import type {RevisionStatus} from '../admin/status_report.js';
import type {RecordIdentity, ServiceState} from '../records/record.js';

/** A record as it is stored. */
export interface StoredRecord extends RecordIdentity {
  readonly revision: number;
  readonly schemaVersion: number;
  readonly by: string;
  readonly spec: unknown;
  /** Why the newest version is not in force; absent if it is. */
  readonly problem?: {readonly fault: string; readonly detail: string};
}

/**
 * Response to a change: what was changed and which processes have it in force.
 */
export interface ChangeDocument extends RecordIdentity, RevisionStatus {
  readonly isChanged: boolean;
}

/** Service state of a data centre and which processes have it in force. */
export interface DataCentreDocument extends RevisionStatus {
  readonly name: string;
  readonly service: ServiceState;
  readonly by: string;
}
