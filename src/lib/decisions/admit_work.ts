/** Admission control: decides whether a job can meet its objective. */
import {JobReason} from '../core/work_job.js';

/** Whether targets have the capacity for each task of a job. */
export enum CapacityFit {
  /** Some target has it, free or in use. */
  NOW = 'now',
  /** None has it now, but a kind of target has had it. */
  LATER = 'later',
  /** No kind of target is known to have ever had it. */
  NEVER = 'never',
}

/** Inputs of the admission decision. */
export interface AdmissionInput {
  /** Cores requested by those of the job's tasks that can start at once. */
  readonly requestedCores: number;
  /** Processor time queued ahead of the job, here and at peers, in core-milliseconds. */
  readonly backlogMs: number;
  /** Cores of all targets that accept work. */
  readonly cores: number;
  /** Cores of these targets that are free. */
  readonly freeCores: number;
  /** Longest tolerable delay of the job's tasks in milliseconds. */
  readonly slackMs: number;
  /** Whether targets have the total capacity for the job's tasks. */
  readonly fit: CapacityFit;
  /** Whether any target accepts work. */
  readonly hasTargets: boolean;
}

/** Result of the admission decision. */
export interface AdmissionDecision {
  /** `JobReason.NONE` if the job is admitted. */
  readonly reason: JobReason;
  /** Expected delay in milliseconds before the job's tasks start. */
  readonly waitMs: number;
  /** Delay in milliseconds after which the caller may retry. */
  readonly retryAfterMs: number;
}

/** Retry delay in milliseconds while no target can run the job. */
const NO_TARGET_RETRY_MS = 2000;

/** Admits a job if capacity is free for it or its slack covers the backlog. */
export function judgeAdmission(input: AdmissionInput): AdmissionDecision {
  if (!input.hasTargets || input.fit === CapacityFit.LATER) {
    return {
      reason: JobReason.NO_TARGET,
      waitMs: 0,
      retryAfterMs: NO_TARGET_RETRY_MS,
    };
  }
  if (input.fit === CapacityFit.NEVER) {
    return {reason: JobReason.TOO_LARGE, waitMs: 0, retryAfterMs: 0};
  }
  const waitMs = input.backlogMs / Math.max(1, input.cores);
  const hasFreeCapacity =
    input.freeCores >= Math.min(input.requestedCores, input.cores / 2);
  if (hasFreeCapacity || waitMs <= input.slackMs) {
    return {reason: JobReason.NONE, waitMs, retryAfterMs: 0};
  }
  return {
    reason: JobReason.OVERLOADED,
    waitMs,
    retryAfterMs: Math.ceil(waitMs),
  };
}
