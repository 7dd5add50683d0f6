/** Decides whether a job can be served in time, before anything of it runs. */
import {JobReason} from '../core/work_job.js';

/** What the decision rests on. */
export interface AdmissionInput {
  /** Cores that the tasks of the job that can begin at once ask for. */
  readonly requestedCores: number;
  /** Processor time waiting ahead of it, here and at peers, in core-milliseconds. */
  readonly backlogMs: number;
  /** Cores of all targets that take work. */
  readonly cores: number;
  /** Cores that are free now. */
  readonly freeCores: number;
  /** Time in milliseconds by which its tasks may be delayed. */
  readonly slackMs: number;
  /** Whether some target could hold its largest task. */
  readonly isPlaceable: boolean;
  /** Whether any target takes work. */
  readonly hasTargets: boolean;
}

/** The decision and what it rests on. */
export interface AdmissionVerdict {
  /** `JobReason.NONE` admits. */
  readonly reason: JobReason;
  /** Expected time in milliseconds until its tasks begin. */
  readonly waitMs: number;
  /** When the caller may come again, in milliseconds. */
  readonly retryAfterMs: number;
}

/** When to come again while no target takes work, in milliseconds. */
const NO_TARGET_RETRY_MS = 2000;

/** Judges a job by the work ahead of it. */
export function judgeAdmission(input: AdmissionInput): AdmissionVerdict {
  if (!input.hasTargets) {
    return {
      reason: JobReason.NO_TARGET,
      waitMs: 0,
      retryAfterMs: NO_TARGET_RETRY_MS,
    };
  }
  if (!input.isPlaceable) {
    return {reason: JobReason.TOO_LARGE, waitMs: 0, retryAfterMs: 0};
  }
  const waitMs = input.backlogMs / Math.max(1, input.cores);
  const hasRoom =
    input.freeCores >= Math.min(input.requestedCores, input.cores / 2);
  if (hasRoom || waitMs <= input.slackMs) {
    return {reason: JobReason.NONE, waitMs, retryAfterMs: 0};
  }
  return {
    reason: JobReason.OVERLOADED,
    waitMs,
    retryAfterMs: Math.ceil(waitMs),
  };
}
