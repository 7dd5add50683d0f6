/** What an entry knows of the fleet, as operators are shown it. */
import type {StoreContact} from '../records/configuration_view.js';

/** Kinds of process that have a configuration in force. */
export enum ProcessRole {
  ENTRY = 'entry',
  AGENT = 'agent',
}

/** One process of the system. */
export interface ProcessStatus {
  readonly id: string;
  readonly role: ProcessRole;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** Revision in force as last heard; 0 if nothing was heard. */
  readonly configurationRevision: number;
  /** Age of that report in milliseconds. */
  readonly heardAgeMs: number;
  /** Whether the process reaches the store; absent for agents. */
  readonly contact?: StoreContact;
}

/** One target, as its agent reports it. */
export interface TargetStatus {
  readonly name: string;
  readonly agent: string;
  readonly dataCentre: string;
  /** State of the target's chart. */
  readonly condition: string;
  /** Whether the agent lets tasks start. */
  readonly isPermitted: boolean;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
}

/** What one entry knows of the fleet. */
export interface StatusReport {
  /** Id of the entry that answers. */
  readonly entry: string;
  readonly configurationRevision: number;
  readonly contact: StoreContact;
  /** Every registered entry and every agent connected to this entry. */
  readonly processes: readonly ProcessStatus[];
  readonly targets: readonly TargetStatus[];
  /** Counters of this entry by name. */
  readonly counters: Readonly<Record<string, number>>;
}

/** Which processes have a revision in force. */
export interface RevisionStatus {
  readonly revision: number;
  readonly inForce: readonly string[];
  readonly missing: readonly string[];
  /** A majority of the registered entries has it: it is accepted. */
  readonly isAccepted: boolean;
  readonly isEverywhere: boolean;
}

/** Works out which processes have a revision in force. */
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
