/** The configuration that a process has in force, as its tasks receive it. */

/** Whether the process can still ask the platform's store. */
export enum StoreContact {
  /** The store confirmed the revision lately. */
  CONFIRMED = 'confirmed',
  /** Calls to the store fail or time out. */
  LOST = 'lost',
}

/** One live entry, as registered in the store under its lease. */
export interface EntryAddress {
  readonly id: string;
  readonly incarnation: string;
  /** `host:port` of its gRPC listener. */
  readonly address: string;
}

/** Limits and share of one team. */
export interface TeamConfiguration {
  readonly name: string;
  /** Relative share of slots while teams compete. */
  readonly weight: number;
  /** Tasks of the team that may be out at agents at once, over all entries; 0 is no limit. */
  readonly slotsAtMost: number;
  /** Tasks a second the team may submit, over all entries; 0 is no limit. */
  readonly tasksPerSecondAtMost: number;
}

/** Defaults and limits of one class of tasks. */
export interface TaskClassConfiguration {
  readonly name: string;
  /** Deadline of a job that states none, in milliseconds. */
  readonly deadlineMs: number;
  /** Longest time a target may take for one task, in milliseconds. */
  readonly runWithinMs: number;
  /** Value of a job that states none. */
  readonly value: number;
}

/** Everything the tasks of an entry need of the operators' records. */
export interface ConfigurationView {
  /** Revision of the store up to which the records are applied; never falls. */
  readonly revision: number;
  readonly dataCentresOut: readonly string[];
  readonly teams: ReadonlyMap<string, TeamConfiguration>;
  readonly taskClasses: ReadonlyMap<string, TaskClassConfiguration>;
  readonly entries: readonly EntryAddress[];
}

/** Freshness of a view, updated far more often than the view itself. */
export interface ConfigurationEvidence {
  readonly contact: StoreContact;
  /**
   * Monotonic time in milliseconds at which the store call was *sent* that last
   * confirmed the view's revision as the newest.
   */
  readonly confirmedSentAtMs: number;
}
