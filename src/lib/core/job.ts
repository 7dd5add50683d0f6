/** Types of jobs and tasks, independent of any encoding. */

/** Guarantee that an answer gives to the caller. */
export enum Outcome {
  /** Every task ran and the answer contains every result. */
  COMPLETE = 'complete',
  /** No task of this submission has started or will start. */
  DID_NOT_RUN = 'did-not-run',
  /** The job ended; at least one task ran and failed or never started. */
  FAILED = 'failed',
  /** It is unknown whether some task has run; its result is lost. */
  UNKNOWN = 'unknown',
}

/** Why a job was refused or ended without a complete answer. */
export enum Problem {
  REQUEST_INVALID = 'request-invalid',
  BODY_TOO_LARGE = 'body-too-large',
  TEAM_UNKNOWN = 'team-unknown',
  KEY_INVALID = 'key-invalid',
  KEY_REUSED = 'key-reused',
  SESSION_ENDED = 'session-ended',
  OWNER_UNREACHABLE = 'owner-unreachable',
  OVERLOADED = 'overloaded',
  QUOTA_EXCEEDED = 'quota-exceeded',
  DEADLINE_UNREACHABLE = 'deadline-unreachable',
  DEADLINE_PASSED = 'deadline-passed',
  NO_TARGETS = 'no-targets',
  CANNOT_RUN = 'cannot-run',
  TASK_FAILED = 'task-failed',
  TASK_LOST = 'task-lost',
  RESULT_TOO_LARGE = 'result-too-large',
  CANCELLED = 'cancelled',
  STOPPING = 'stopping',
  NOT_READY = 'not-ready',
  ANSWER_EXPIRED = 'answer-expired',
  NOT_FOUND = 'not-found',
  INTERNAL = 'internal',
}

/** One task as a caller submits it. */
export interface TaskSpecification {
  /** JSON value that is sent to the target. */
  readonly payload: unknown;
  /** The caller's estimate of the run time in milliseconds; may be far off. */
  readonly expectedMs: number;
}

/** A job as submitted by a caller, with defaults filled in. */
export interface JobSpecification {
  readonly team: string;
  readonly taskClass: string;
  /** Relative value of a complete answer; only ratios between jobs matter. */
  readonly value: number;
  /** Time in milliseconds after which the caller no longer waits for the answer. */
  readonly deadlineMs: number;
  readonly tasks: readonly TaskSpecification[];
  /** Trace context propagated to targets; empty for none. */
  readonly trace: string;
}

/** How one task ended. */
export enum TaskEnd {
  SUCCEEDED = 'succeeded',
  FAILED = 'failed',
  NOT_STARTED = 'not-started',
  UNKNOWN = 'unknown',
}

/** A task that did not succeed, as listed in the answer of a failed job. */
export interface TaskFault {
  readonly index: number;
  readonly end: TaskEnd;
  /** HTTP status that the target answered; 0 if none. */
  readonly targetStatus: number;
  /** Beginning of the target's answer. */
  readonly detail: string;
}
