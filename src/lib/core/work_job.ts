/** Jobs of tasks that ask for resources. */

/** What a task takes of a target, or what a target has. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMilli: number;
  readonly memoryMb: number;
  /** Whole accelerators. */
  readonly accelerators: number;
}

/** Tasks of a job that are alike. */
export interface StepSpec {
  /** Number of tasks. */
  readonly count: number;
  readonly need: Resources;
  /** The caller's guess of a task's run time in milliseconds; often 40 % off. */
  readonly estimateMs: number;
  /** Numbers of the steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Label that the target must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack where the data lies; empty for none. */
  readonly preferredRack: string;
  /** Most tasks of the step on one target at a time; 0 for no limit. */
  readonly perTargetAtMost: number;
}

/** A job as a caller hands it in. */
export interface JobRequest {
  /** The caller's id of the job, 16 hexadecimal digits. */
  readonly job: string;
  /** The caller's id of this request, for logs. */
  readonly request: string;
  /** Name of the queue. */
  readonly queue: string;
  /** Handed to the target with each task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** How long the caller waits for the answer, in milliseconds. */
  readonly deadlineMs: number;
}

/** How a job ended for its caller. */
export enum JobEnd {
  /** All tasks are done. */
  COMPLETED = 'completed',
  /** A task failed as often as the queue allows, or can run nowhere. */
  FAILED = 'failed',
  /** Nothing of the job has run; the caller may come again. */
  REFUSED = 'refused',
  /** Given up after some of it had run; the caller may hand it in again. */
  ABANDONED = 'abandoned',
}

/** Why a job was refused or given up. */
export enum JobReason {
  NONE = 'none',
  /** More is waiting than can be run in time. */
  OVERLOADED = 'overloaded',
  /** The process is stopping. */
  STOPPING = 'stopping',
  /** No target serves the queue at the moment. */
  NO_TARGET = 'no-target',
  /** No target could ever hold a task of the job. */
  TOO_LARGE = 'too-large',
  /** A task failed as often as the queue allows. */
  ATTEMPTS_EXHAUSTED = 'attempts-used',
  /** The job's deadline has passed. */
  DEADLINE_EXCEEDED = 'deadline',
}

/** The answer to a job. */
export interface JobAnswer {
  readonly end: JobEnd;
  readonly reason: JobReason;
  /** When to come again, in milliseconds; 0 if the caller need not. */
  readonly retryAfterMs: number;
}

/** Names a task of a job: `JOB.OCCURRENCE.STEP.INDEX`. */
export function formatTaskName(
  job: string,
  step: number,
  index: number,
): string {
  return `${job}.0.${step}.${index}`;
}

/** Tells whether `need` fits into `room`. */
export function isWithinCapacity(need: Resources, room: Resources): boolean {
  return (
    need.cpuMilli <= room.cpuMilli &&
    need.memoryMb <= room.memoryMb &&
    need.accelerators <= room.accelerators
  );
}

/** Returns `room` less `need`. */
export function subtractResources(room: Resources, need: Resources): Resources {
  return {
    cpuMilli: room.cpuMilli - need.cpuMilli,
    memoryMb: room.memoryMb - need.memoryMb,
    accelerators: room.accelerators - need.accelerators,
  };
}

/** Returns the sum of both. */
export function addResources(sum: Resources, more: Resources): Resources {
  return {
    cpuMilli: sum.cpuMilli + more.cpuMilli,
    memoryMb: sum.memoryMb + more.memoryMb,
    accelerators: sum.accelerators + more.accelerators,
  };
}

/** No resources at all. */
export const NO_RESOURCES: Resources = {
  cpuMilli: 0,
  memoryMb: 0,
  accelerators: 0,
};
