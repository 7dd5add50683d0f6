/** A job that has not been answered, and what it is made of. */
import type {JobSpecification, Outcome, Problem, TaskEnd} from '../core/job.js';
import type {JobAnswer, JobRun} from '../decisions/job_run.js';
import type {TaskClassConfiguration} from '../records/configuration_view.js';
import type {JobDraft, LocalKey, Reply} from './dispatcher_messages.js';

const DEFAULT_CLASS = 'default';
const DEFAULT_DEADLINE_MS = 60_000;
/** Longest run time in milliseconds of a class without a record. */
export const DEFAULT_RUN_WITHIN_MS = 30_000;
const DEFAULT_VALUE = 1;

/** A job that has been answered, for logs and metrics. */
export interface EndedJob {
  readonly job: string;
  readonly team: string;
  readonly taskClass: string;
  readonly trace: string;
  readonly outcome: Outcome;
  readonly problem: Problem | undefined;
  readonly tasks: number;
  readonly durationMs: number;
}

/** A task that has ended, for metrics. */
export interface EndedTask {
  readonly team: string;
  readonly taskClass: string;
  readonly end: TaskEnd;
  readonly runMs: number;
  readonly queuedMs: number;
}

/** A job that has not been answered. */
export interface RunningJob {
  readonly run: JobRun;
  readonly key: LocalKey | undefined;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  readonly runWithinMs: number;
  /** JSON texts in UTF-8, in task order. */
  readonly payloads: readonly Uint8Array[];
  /** Where each task that is out at an agent has gone. */
  readonly placements: Map<number, TaskPlacement>;
  readonly replies: Reply[];
}

/** Where a task has been sent. */
export interface TaskPlacement {
  readonly agent: string;
  readonly sequence: number;
}

/** Fills in what a caller left open from the record of the job's class. */
export function applyDefaults(
  draft: JobDraft,
  taskClasses: ReadonlyMap<string, TaskClassConfiguration> | undefined,
): JobSpecification {
  const taskClass = draft.taskClass ?? DEFAULT_CLASS;
  const defaults = taskClasses?.get(taskClass);
  return {
    team: draft.team,
    taskClass,
    value: draft.value ?? defaults?.value ?? DEFAULT_VALUE,
    deadlineMs: draft.deadlineMs ?? defaults?.deadlineMs ?? DEFAULT_DEADLINE_MS,
    tasks: draft.tasks,
    trace: draft.trace,
  };
}

/** Describes a job that has been answered. */
export function describeEndedJob(
  job: RunningJob,
  answer: JobAnswer,
  nowMs: number,
): EndedJob {
  const {team, taskClass, trace, tasks} = job.run.specification;
  return {
    job: job.run.id,
    team,
    taskClass,
    trace,
    outcome: answer.outcome,
    problem: answer.problem,
    tasks: tasks.length,
    durationMs: nowMs - job.acceptedAtMs,
  };
}

/** Returns the name under which a key's job is found. */
export function joinKey(key: LocalKey): string {
  return `${key.owner}.${key.serial}.${key.name}`;
}

/** Writes a payload as JSON text in UTF-8. */
export function encodePayload(payload: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(payload));
}
