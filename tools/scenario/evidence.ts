/** What a scenario's run leaves behind for its verdict. */

/** What a caller received for one submission. */
export interface ReceivedAnswer {
  readonly status: number;
  /** Parsed body, or undefined when it was cut off or is not JSON. */
  readonly body: AnswerBody | undefined;
}

/** Members of an answer that the verdict looks at. */
export interface AnswerBody {
  readonly outcome?: string;
  readonly code?: string;
  readonly detail?: string;
  readonly results?: readonly unknown[];
  readonly retryAfterMs?: number;
}

/** One submission of a job, from the caller's side. */
export interface Submission {
  readonly name: string;
  /** Load that made it, or the submission's own name. */
  readonly group: string;
  /** The same for all submissions of one job. */
  readonly job: string;
  readonly via: string;
  readonly taskIds: readonly string[];
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Undefined when the connection broke before a whole answer. */
  readonly answer: ReceivedAnswer | undefined;
  /** Why there is no answer. */
  readonly failure: string;
  /** Whether the request had reached an entry when it failed. */
  readonly isCut: boolean;
}

/** One start as a stand-in target recorded it. */
export interface RecordedStart {
  readonly taskId: string;
  readonly target: string;
  readonly dataCentre: string;
  readonly instance: string;
  readonly startedAtMs: number;
}

/** A task that reached a stand-in target and was not started there. */
export interface RecordedRefusal {
  readonly target: string;
  readonly atMs: number;
}

/** A change of configuration, or another named moment. */
export interface Change {
  readonly name: string;
  /** Data centre, target or record that changed. */
  readonly subject: string;
  /** `in`, `out` or `left`. */
  readonly to: string;
  readonly revision: number;
  /** When the operator sent it; it may be in force from then on. */
  readonly sentAtMs: number;
  readonly acceptedAtMs: number;
  /** Infinite until every entry and agent has it in force. */
  readonly inForceAtMs: number;
}

/** The revision that one life of a process reported at one time. */
export interface RevisionSample {
  readonly process: string;
  readonly incarnation: string;
  readonly revision: number;
  readonly atMs: number;
}

/** All that was observed from outside the system. */
export interface Evidence {
  readonly submissions: readonly Submission[];
  readonly starts: readonly RecordedStart[];
  readonly refusals: readonly RecordedRefusal[];
  readonly changes: readonly Change[];
  readonly revisions: readonly RevisionSample[];
  /** Times that targets saw more tasks or connections than they allow. */
  readonly limitViolations: number;
  /** Time at which the steps ended. */
  readonly endedAtMs: number;
}
