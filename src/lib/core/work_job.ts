/** Job requests and their results, and the resources that tasks need. */

/** Resources that a task needs or that a target provides. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMilli: number;
  readonly memoryMb: number;
  /** Whole accelerators. */
  readonly accelerators: number;
}

/** A group of identical tasks in a job. */
export interface StepSpec {
  /** Number of tasks. */
  readonly count: number;
  readonly need: Resources;
  /** The caller's estimate of a task's run time in milliseconds; often 40 % off. */
  readonly estimateMs: number;
  /** Indexes of the steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Label that the target must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack that stores the task's data; empty for none. */
  readonly preferredRack: string;
  /** Maximum number of tasks of the step on one target at a time; 0 for no limit. */
  readonly perTargetAtMost: number;
}

/** A job as submitted by a caller. */
export interface JobRequest {
  /** The caller's id of the job, 16 hexadecimal digits. */
  readonly job: string;
  /** The caller's id of this request, for logs. */
  readonly request: string;
  /** Name of the queue. */
  readonly queue: string;
  /** Sent to the target with each task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** How long the caller waits for the answer, in milliseconds. */
  readonly deadlineMs: number;
}

/** How a job ended, as reported to its caller. */
export enum JobEnd {
  /** All tasks are done. */
  COMPLETED = 'completed',
  /** A task used up its attempts, crashes its targets, or no target can ever run it. */
  FAILED = 'failed',
  /** No task of the job has run; the caller may retry. */
  REFUSED = 'refused',
  /** Ended unfinished after tasks of it may have run; the caller may resubmit it. */
  ABANDONED = 'abandoned',
}

/** Why a job was refused, failed or was abandoned. */
export enum JobReason {
  NONE = 'none',
  /** The backlog is too large for the job to finish in time. */
  OVERLOADED = 'overloaded',
  /** The process is stopping. */
  STOPPING = 'stopping',
  /** No target that can run the job serves the queue at the moment. */
  NO_TARGET = 'no-target',
  /** A task of the job needs more resources than any kind of target has ever had. */
  TOO_LARGE = 'too-large',
  /** A task used up the attempts that the queue allows. */
  ATTEMPTS_EXHAUSTED = 'attempts-used',
  /** A task of the job crashes the targets on which it starts. */
  TARGETS_CRASHED = 'targets-crashed',
  /** Targets crashed while a task of the job may have run there; nothing is proven. */
  CRASHES_SUSPECTED = 'crashes-suspected',
  /** The job's deadline has passed. */
  DEADLINE_EXCEEDED = 'deadline',
}

/** The result of a job, sent to its caller. */
export interface JobAnswer {
  readonly end: JobEnd;
  readonly reason: JobReason;
  /** Time after which to retry, in milliseconds; 0 if a retry is not needed. */
  readonly retryAfterMs: number;
}

/** Formats the name of a task, `JOB.OCCURRENCE.STEP.INDEX`; the occurrence is always 0. */
export function formatTaskName(
  job: string,
  step: number,
  index: number,
): string {
  return `${job}.0.${step}.${index}`;
}

/** Returns whether `need` is within `capacity` for each kind of resource. */
export function isWithinCapacity(
  need: Resources,
  capacity: Resources,
): boolean {
  return (
    need.cpuMilli <= capacity.cpuMilli &&
    need.memoryMb <= capacity.memoryMb &&
    need.accelerators <= capacity.accelerators
  );
}

/** Returns `capacity` minus `need`. */
export function subtractResources(
  capacity: Resources,
  need: Resources,
): Resources {
  return {
    cpuMilli: capacity.cpuMilli - need.cpuMilli,
    memoryMb: capacity.memoryMb - need.memoryMb,
    accelerators: capacity.accelerators - need.accelerators,
  };
}

/** Returns the sum of two amounts of resources. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: a.cpuMilli + b.cpuMilli,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** Zero of every resource. */
export const NO_RESOURCES: Resources = {
  cpuMilli: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** Creates an answer that asks for no retry. */
export function createAnswer(end: JobEnd, reason: JobReason): JobAnswer {
  return {end, reason, retryAfterMs: 0};
}
