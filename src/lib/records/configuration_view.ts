/** The configuration that a process has in force, as its components receive it. */

/** Whether the process can reach the platform's store. */
export enum StoreContact {
  /** The store has recently confirmed the revision. */
  CONFIRMED = 'confirmed',
  /** Calls to the store fail or time out. */
  LOST = 'lost',
}

/** Identity and address of an entry, registered in the store under a lease. */
export interface EntryAddress {
  readonly id: string;
  readonly incarnation: string;
  /** `host:port` of its gRPC listener. */
  readonly address: string;
}

/** Limits and fair-share weight of one team. */
export interface TeamConfiguration {
  readonly name: string;
  /** Relative share of slots under contention. */
  readonly weight: number;
  /** Limit on the team's tasks placed at agents at once, over all entries; 0 means unlimited. */
  readonly slotsAtMost: number;
  /** Limit on tasks submitted per second, over all entries; 0 means unlimited. */
  readonly tasksPerSecondAtMost: number;
}

/** Defaults and limits of one class of tasks. */
export interface TaskClassConfiguration {
  readonly name: string;
  /** Default deadline of a job, in milliseconds. */
  readonly deadlineMs: number;
  /** Time limit for one task at a target, in milliseconds. */
  readonly runWithinMs: number;
  /** Default value of a job. */
  readonly value: number;
}

/** The configuration that the components of an entry work with. */
export interface ConfigurationView {
  /** Revision of the store up to which the records are applied; never decreases. */
  readonly revision: number;
  /** Names of the data centres that are out of service. */
  readonly dataCentresOut: readonly string[];
  readonly teams: ReadonlyMap<string, TeamConfiguration>;
  readonly taskClasses: ReadonlyMap<string, TaskClassConfiguration>;
  readonly entries: readonly EntryAddress[];
}

/** Freshness of a view, updated far more often than the view itself. */
export interface ConfigurationEvidence {
  readonly contact: StoreContact;
  /**
   * Monotonic time in milliseconds at which the call that last confirmed the
   * view's revision as the newest was *sent*.
   */
  readonly confirmedSentAtMs: number;
}
