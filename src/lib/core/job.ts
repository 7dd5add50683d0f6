/** Jobs and tasks as the decisions see them, free of any encoding. */

/** What a caller may rely on after an answer. */
export enum Outcome {
  /** Every task ran and the answer holds every result. */
  COMPLETE = 'complete',
  /** Nothing of this submission started, and nothing will. */
  DID_NOT_RUN = 'did-not-run',
  /** The job ended; at least one task ran and failed or never started. */
  FAILED = 'failed',
  /** Some task may or may not have run; its result is lost. */
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
  /** JSON value handed to the target. */
  readonly payload: unknown;
  /** The caller's estimate in milliseconds; may be far off. */
  readonly expectedMs: number;
}

/** A job as a caller submits it, after defaults are filled in. */
export interface JobSpecification {
  readonly team: string;
  readonly taskClass: string;
  /** Value to the caller of a whole answer; only ratios matter. */
  readonly value: number;
  /** Time in milliseconds after which nobody waits for the answer. */
  readonly deadlineMs: number;
  readonly tasks: readonly TaskSpecification[];
  /** Trace context passed through to targets, or empty. */
  readonly trace: string;
}

/** How one task ended. */
export enum TaskEnd {
  SUCCEEDED = 'succeeded',
  FAILED = 'failed',
  NOT_STARTED = 'not-started',
  UNKNOWN = 'unknown',
}

/** A task that did not succeed, as the answer of a failed job lists it. */
export interface TaskFault {
  readonly index: number;
  readonly end: TaskEnd;
  /** Status that the target answered, 0 if none. */
  readonly targetStatus: number;
  /** First part of what the target answered. */
  readonly detail: string;
}
