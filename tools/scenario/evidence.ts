/** Observations of a scenario run, from which the verdicts are derived. */

/** What a caller received for one submission. */
export interface ReceivedAnswer {
  readonly status: number;
  /** Parsed body, or undefined if it was truncated or is not JSON. */
  readonly body: AnswerBody | undefined;
}

/** Properties of an answer that the expectations check. */
export interface AnswerBody {
  readonly outcome?: string;
  readonly code?: string;
  readonly detail?: string;
  readonly results?: readonly unknown[];
  readonly retryAfterMs?: number;
}

/** One submission of a job, as seen by the caller. */
export interface Submission {
  readonly name: string;
  /** Name of the load that made it, or of the submission itself. */
  readonly group: string;
  /** Name of the job, shared by all its submissions. */
  readonly job: string;
  readonly via: string;
  readonly taskIds: readonly string[];
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Undefined if the connection broke before the answer was complete. */
  readonly answer: ReceivedAnswer | undefined;
  /** Why there is no answer, or empty. */
  readonly failure: string;
  /** Whether the request failed after it was sent. */
  readonly isCut: boolean;
}

/** Start of a task, recorded by a stand-in target. */
export interface RecordedStart {
  readonly taskId: string;
  readonly target: string;
  readonly dataCentre: string;
  readonly instance: string;
  readonly startedAtMs: number;
}

/** A task that a stand-in target received and refused to start. */
export interface RecordedRefusal {
  readonly target: string;
  readonly atMs: number;
}

/** A configuration change or another named point in time. */
export interface Change {
  readonly name: string;
  /** Data centre, target or record that changed. */
  readonly subject: string;
  /** `in`, `out` or `left`. */
  readonly to: string;
  readonly revision: number;
  /** When the operator sent it; it may take effect from then on. */
  readonly sentAtMs: number;
  readonly acceptedAtMs: number;
  /** `Infinity` until it is in force in every entry and agent. */
  readonly inForceAtMs: number;
}

/** Configuration revision of one process incarnation at one time. */
export interface RevisionSample {
  readonly process: string;
  readonly incarnation: string;
  readonly revision: number;
  readonly atMs: number;
}

/** Everything observed during a run, from outside the system. */
export interface Evidence {
  readonly submissions: readonly Submission[];
  readonly starts: readonly RecordedStart[];
  readonly refusals: readonly RecordedRefusal[];
  readonly changes: readonly Change[];
  readonly revisions: readonly RevisionSample[];
  /** How often targets had more tasks or connections than they allow. */
  readonly limitViolations: number;
  /** When the steps ended. */
  readonly endedAtMs: number;
}
