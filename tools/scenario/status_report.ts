/** The parts of the administration API's answers that scenarios read. */

/** One process as `GET /v1/status` lists it. */
export interface ReportedProcess {
  readonly id: string;
  readonly incarnation: string;
  /** 0 if nothing was heard of it. */
  readonly configurationRevision: number;
}

/** One target as `GET /v1/status` lists it. */
export interface ReportedTarget {
  readonly name: string;
  readonly condition: string;
  readonly isPermitted: boolean;
}

/** Answer to `GET /v1/status`. */
export interface StatusReport {
  readonly entry: string;
  readonly processes: readonly ReportedProcess[];
  readonly targets: readonly ReportedTarget[];
}

/** Answer to `GET /v1/revisions/REV`, and part of the answer to a change. */
export interface RevisionStatus {
  readonly revision: number;
  readonly isAccepted: boolean;
  readonly isEverywhere: boolean;
}
