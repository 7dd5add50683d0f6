/** The documents of the administration API, as far as the commands read them. */
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

/** Which processes have a revision in force. */
export interface RevisionStatus {
  readonly revision: number;
  /** Processes as `role/id`. */
  readonly missing: readonly string[];
  /** A majority of the registered entries has it. */
  readonly isAccepted: boolean;
  readonly isEverywhere: boolean;
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

/** One process of the system. */
export interface ProcessStatus {
  readonly id: string;
  readonly role: string;
  readonly dataCentre: string;
  readonly configurationRevision: number;
  readonly heardAgeMs: number;
  readonly contact?: string;
}

/** One target, as its agent reports it. */
export interface TargetStatus {
  readonly name: string;
  readonly agent: string;
  readonly dataCentre: string;
  readonly condition: string;
  readonly isPermitted: boolean;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
}

/** What one entry knows of the fleet. */
export interface StatusReport {
  readonly entry: string;
  readonly configurationRevision: number;
  readonly contact: string;
  readonly processes: readonly ProcessStatus[];
  readonly targets: readonly TargetStatus[];
  readonly counters: Readonly<Record<string, number>>;
}
