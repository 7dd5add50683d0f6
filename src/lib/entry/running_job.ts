/** A running job: its state, the defaults of its class and its summary. */
import type {JobSpecification, Outcome, Problem, TaskEnd} from '../core/job.js';
import type {JobAnswer, JobRun} from '../decisions/job_run.js';
import type {TaskClassConfiguration} from '../records/configuration_view.js';
import type {JobDraft, LocalKey, Reply} from './dispatcher_messages.js';

const DEFAULT_CLASS = 'default';
const DEFAULT_DEADLINE_MS = 60_000;
/** Run time limit in milliseconds of a task class without a record. */
export const DEFAULT_RUN_WITHIN_MS = 30_000;
const DEFAULT_VALUE = 1;

/** Summary of a job that has been answered, for logs and metrics. */
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

/** Summary of a task that has ended, for metrics. */
export interface EndedTask {
  readonly team: string;
  readonly taskClass: string;
  readonly end: TaskEnd;
  readonly runMs: number;
  readonly queuedMs: number;
}

/** The dispatcher's state for a job that has not been answered. */
export interface RunningJob {
  readonly run: JobRun;
  readonly key: LocalKey | undefined;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  readonly runWithinMs: number;
  /** JSON texts in UTF-8, in task order. */
  readonly payloads: readonly Uint8Array[];
  /** Placements of the tasks that are at an agent, by task index. */
  readonly placements: Map<number, TaskPlacement>;
  readonly replies: Reply[];
}

/** The agent to which a task has been sent, and its sequence there. */
export interface TaskPlacement {
  /** Incarnation of the agent. */
  readonly agent: string;
  readonly sequence: number;
}

/** Fills in omitted fields from the record of the job's task class. */
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

/** Returns the summary of a job that has been answered. */
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

/** Returns the string by which the job of a key is indexed. */
export function joinKey(key: LocalKey): string {
  return `${key.owner}.${key.serial}.${key.name}`;
}

/** Encodes a payload as JSON text in UTF-8. */
export function encodePayload(payload: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(payload));
}
