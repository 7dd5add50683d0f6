/** Properties of administration API answers that scenarios read. */

/** A process in the answer to `GET /v1/status`. */
export interface ReportedProcess {
  readonly id: string;
  readonly incarnation: string;
  /** 0 if the entry has no report from the process. */
  readonly configurationRevision: number;
}

/** A target in the answer to `GET /v1/status`. */
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
