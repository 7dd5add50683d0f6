/** An entry's view of the fleet, as reported to operators. */
import type {StoreContact} from '../records/configuration_view.js';

/** Roles of processes that have a configuration in force. */
export enum ProcessRole {
  ENTRY = 'entry',
  AGENT = 'agent',
}

/** Status of one process, as last reported to this entry. */
export interface ProcessStatus {
  readonly id: string;
  readonly role: ProcessRole;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** Revision in force as last reported; 0 if none was reported. */
  readonly configurationRevision: number;
  /** Age of that report in milliseconds. */
  readonly heardAgeMs: number;
  /** Whether the process reaches the store; absent for agents. */
  readonly contact?: StoreContact;
}

/** Status of one target, as reported by its agent. */
export interface TargetStatus {
  readonly name: string;
  readonly agent: string;
  readonly dataCentre: string;
  /** State of the target's chart. */
  readonly condition: string;
  /** Whether the agent permits tasks to start. */
  readonly isPermitted: boolean;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
}

/** One entry's view of the fleet. */
export interface StatusReport {
  /** Id of the entry that made the report. */
  readonly entry: string;
  readonly configurationRevision: number;
  readonly contact: StoreContact;
  /** Every registered entry and every agent connected to this entry. */
  readonly processes: readonly ProcessStatus[];
  readonly targets: readonly TargetStatus[];
  /** Counters of this entry by name. */
  readonly counters: Readonly<Record<string, number>>;
}

/** Which processes have a revision in force, and which do not. */
export interface RevisionStatus {
  readonly revision: number;
  readonly inForce: readonly string[];
  readonly missing: readonly string[];
  /** Whether a majority of the registered entries has the revision in force. */
  readonly isAccepted: boolean;
  readonly isEverywhere: boolean;
}

/** Determines which processes have a revision in force. */
export function describeRevision(
  report: StatusReport,
  revision: number,
): RevisionStatus {
  const isInForce = (status: ProcessStatus) =>
    status.configurationRevision >= revision;
  const entries = report.processes.filter(
    status => status.role === ProcessRole.ENTRY,
  );
  const missing = report.processes.filter(status => !isInForce(status));
  return {
    revision,
    inForce: report.processes.filter(isInForce).map(formatProcess),
    missing: missing.map(formatProcess),
    isAccepted: entries.filter(isInForce).length * 2 > entries.length,
    isEverywhere: missing.length === 0,
  };
}

function formatProcess({role, id}: ProcessStatus): string {
  return `${role}/${id}`;
}
