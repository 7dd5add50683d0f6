/**
 * Bounds what all jobs in progress at an entry hold, so that jobs that are each within
 * the limits do not exceed its memory together.
 */
import type {JobRequest} from '../core/work_job.js';

/** What a job holds while it is in progress. */
export interface JobSize {
  readonly tasks: number;
  /** Estimate of the memory, in bytes. */
  readonly bytes: number;
}

/** Result of a reservation. */
export enum JobBudgetVerdict {
  RESERVED = 'reserved',
  /** The jobs in progress have too many tasks. */
  TOO_MANY_TASKS = 'tasks',
  /** The jobs in progress hold too much memory. */
  TOO_MANY_BYTES = 'bytes',
}

/** The bounds of a budget. */
export interface JobBudgetOptions {
  readonly tasksAtMost: number;
  readonly bytesAtMost: number;
}

/** Bytes of a job without its payload, steps and tasks, with its buffered log lines. */
const JOB_BYTES = 4096;

/** Bytes of a step, which is held as decoded and with its scaled estimate. */
const STEP_BYTES = 640;

/** Bytes of a name of an earlier step in a step. */
const DEPENDENCY_BYTES = 16;

/**
 * Bytes of a task with its order. A blocked task was measured at 390 bytes of the heap;
 * the rest is an allowance for its order and its entries in the tables of its agent.
 */
const TASK_BYTES = 1024;

/** Bytes of a character of a text, of which some take two. */
const CHARACTER_BYTES = 2;

const BYTES_PER_MB = 1024 * 1024;

/**
 * Share of a process's memory that jobs may hold. On the smallest host, of 210 MB, that
 * is 42 MB, and the rest of the entry takes 70 to 111 MB.
 */
const MEMORY_SHARE = 0.2;

/**
 * Tasks for each MB of memory: 31,500 on the smallest host. At all entries of the
 * customer with the most tasks, 6,300 arrive in the 3 s in which an entry that has just
 * started admits every job.
 */
const TASKS_PER_MB = 150;

/** Tasks of the largest job within the limits. */
const LARGEST_JOB_TASKS = 10_000;

/** Bytes of the largest job within the limits: one step a task, and a body full of names. */
const LARGEST_JOB_BYTES = 20 * BYTES_PER_MB;

/** Memory in MB that is assumed if the settings state none. */
const DEFAULT_MEMORY_MB = 1024;

/** Derives the bounds from the memory of a process; a single job always fits. */
export function computeJobBudget(
  memoryMb: number = DEFAULT_MEMORY_MB,
): JobBudgetOptions {
  return {
    tasksAtMost: Math.max(LARGEST_JOB_TASKS, memoryMb * TASKS_PER_MB),
    bytesAtMost: Math.max(
      LARGEST_JOB_BYTES,
      memoryMb * BYTES_PER_MB * MEMORY_SHARE,
    ),
  };
}

/** Estimates what a job holds while it is in progress. */
export function measureJob({payload, request, steps}: JobRequest): JobSize {
  let tasks = 0;
  let characters = payload.length + request.length;
  let dependencies = 0;
  for (const {count, after, requiredLabel, preferredRack} of steps) {
    tasks += count;
    dependencies += after.length;
    characters += requiredLabel.length + preferredRack.length;
  }
  const bytes =
    JOB_BYTES +
    characters * CHARACTER_BYTES +
    steps.length * STEP_BYTES +
    dependencies * DEPENDENCY_BYTES +
    tasks * TASK_BYTES;
  return {tasks, bytes};
}

/** Counts what the jobs in progress hold, by their names. Owned by the scheduler. */
export class JobBudget {
  private readonly sizes = new Map<string, JobSize>();
  private heldTasks = 0;
  private heldBytes = 0;

  private constructor(private readonly options: JobBudgetOptions) {}

  /** Creates a budget that nothing has been reserved of. */
  static create(options: JobBudgetOptions): JobBudget {
    return new JobBudget(options);
  }

  /** Tasks of the jobs in progress. */
  get tasks(): number {
    return this.heldTasks;
  }

  /** Estimated bytes of the jobs in progress. */
  get bytes(): number {
    return this.heldBytes;
  }

  /** Reserves what a job holds; the reservation of a name replaces an earlier one. */
  reserve(name: string, size: JobSize): JobBudgetVerdict {
    this.release(name);
    const {tasksAtMost, bytesAtMost} = this.options;
    if (this.heldTasks + size.tasks > tasksAtMost) {
      return JobBudgetVerdict.TOO_MANY_TASKS;
    }
    if (this.heldBytes + size.bytes > bytesAtMost) {
      return JobBudgetVerdict.TOO_MANY_BYTES;
    }
    this.sizes.set(name, size);
    this.heldTasks += size.tasks;
    this.heldBytes += size.bytes;
    return JobBudgetVerdict.RESERVED;
  }

  /** Releases what a job held; a name without a reservation changes nothing. */
  release(name: string): void {
    const size = this.sizes.get(name);
    if (size === undefined) return;
    this.sizes.delete(name);
    this.heldTasks -= size.tasks;
    this.heldBytes -= size.bytes;
  }
}
