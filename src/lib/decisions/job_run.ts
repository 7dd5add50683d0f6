/** State of one job: advances as its tasks are sent and end. */
import {ChartInstance} from '../core/chart_instance.js';
import type {ChartInstanceOptions} from '../core/chart_instance.js';
import {Outcome, Problem, TaskEnd} from '../core/job.js';
import type {JobSpecification, TaskFault} from '../core/job.js';
import {
  EntryTaskEvent,
  EntryTaskState,
  JOB_CHART,
  JobEvent,
  JobState,
  TASK_CHART,
} from './job_charts.js';

/** Outcome of one task at an agent. */
export interface TaskEnding {
  readonly end: TaskEnd;
  readonly result: Uint8Array;
  readonly targetStatus: number;
}

/** The answer to a job. */
export interface JobAnswer {
  readonly outcome: Outcome;
  /** Undefined if the outcome is complete. */
  readonly problem: Problem | undefined;
  /** JSON texts in task order; empty unless the outcome is complete. */
  readonly results: readonly Uint8Array[];
  readonly faults: readonly TaskFault[];
}

/** What the owner has to do with a task whose end was recorded. */
export enum TaskEndEffect {
  /** No further action. */
  NONE = 'none',
  /** Queue the task again: it was proven not started. */
  REQUEUE = 'wait-again',
}

const MAX_FAULTS = 20;
const MAX_DETAIL_CHARACTERS = 200;
const NO_BYTES = new Uint8Array(0);
const DECODER = new TextDecoder();

const TASK_EVENTS: Readonly<Record<TaskEnd, EntryTaskEvent>> = {
  [TaskEnd.SUCCEEDED]: EntryTaskEvent.SUCCEEDED,
  [TaskEnd.FAILED]: EntryTaskEvent.FAILED,
  [TaskEnd.NOT_STARTED]: EntryTaskEvent.NOT_STARTED,
  [TaskEnd.UNKNOWN]: EntryTaskEvent.LOST,
};

const ENDS: Partial<Record<EntryTaskState, TaskEnd>> = {
  [EntryTaskState.SUCCEEDED]: TaskEnd.SUCCEEDED,
  [EntryTaskState.FAILED]: TaskEnd.FAILED,
  [EntryTaskState.NOT_STARTED]: TaskEnd.NOT_STARTED,
  [EntryTaskState.UNKNOWN]: TaskEnd.UNKNOWN,
};

interface TaskRecord {
  state: EntryTaskState;
  result: Uint8Array;
  targetStatus: number;
}

/**
 * Runs the state chart of one job. The owner carries out the actions passed to
 * `perform`; the class itself performs no I/O.
 */
export class JobRun {
  private readonly chart: ChartInstance<JobState, JobEvent>;
  private readonly tasks: TaskRecord[];
  private endedCount = 0;
  private succeededCount = 0;
  private problem: Problem | undefined;

  private constructor(
    readonly id: string,
    readonly specification: JobSpecification,
    options: ChartInstanceOptions,
  ) {
    this.tasks = specification.tasks.map(() => ({
      state: TASK_CHART.initial,
      result: NO_BYTES,
      targetStatus: 0,
    }));
    this.chart = ChartInstance.create(JOB_CHART, options);
  }

  /** Creates a job whose tasks all wait, and starts its deadline timer. */
  static create(
    id: string,
    specification: JobSpecification,
    options: ChartInstanceOptions,
  ): JobRun {
    return new JobRun(id, specification, options);
  }

  /** Current state of the job. */
  get state(): JobState {
    return this.chart.state;
  }

  /** Number of tasks that have ended. */
  get done(): number {
    return this.endedCount;
  }

  /** Total number of tasks. */
  get total(): number {
    return this.tasks.length;
  }

  /** Whether the job has been answered. */
  get isOver(): boolean {
    return JOB_CHART.isFinal(this.chart.state);
  }

  /** Records that a task was sent to an agent. */
  recordSent(index: number): void {
    this.stepTask(index, EntryTaskEvent.SEND);
    if (this.chart.state === JobState.WAITING) {
      this.chart.send(JobEvent.TASK_SENT);
    }
  }

  /** Records that an agent was asked to return a task if it has not started. */
  recordWithdrawal(index: number): void {
    this.stepTask(index, EntryTaskEvent.WITHDRAW);
  }

  /** Ends a task that waits at the entry as not started. */
  drop(index: number): void {
    if (this.tasks[index].state !== EntryTaskState.WAITING) return;
    this.stepTask(index, EntryTaskEvent.DROP);
    this.countEnd();
  }

  /** Lists the indices of the tasks in a state. */
  listTasks(state: EntryTaskState): number[] {
    const found: number[] = [];
    for (let index = 0; index < this.tasks.length; index += 1) {
      if (this.tasks[index].state === state) found.push(index);
    }
    return found;
  }

  /** Records the outcome of a task and returns what the owner has to do with it. */
  recordEnd(index: number, ending: TaskEnding): TaskEndEffect {
    const task = this.tasks[index];
    const step = TASK_CHART.step(task.state, TASK_EVENTS[ending.end]);
    if (!step.isHandled) return TaskEndEffect.NONE;
    task.state = step.state;
    if (task.state === EntryTaskState.WAITING) return this.handleReturn(index);
    task.result = ending.result;
    task.targetStatus = ending.targetStatus;
    if (task.state === EntryTaskState.SUCCEEDED) this.succeededCount += 1;
    if (task.state === EntryTaskState.FAILED) {
      this.recordFault(Problem.TASK_FAILED);
    }
    if (task.state === EntryTaskState.UNKNOWN) {
      this.recordFault(Problem.TASK_LOST);
    }
    this.countEnd();
    return TaskEndEffect.NONE;
  }

  /** Handles the event of an expired timer. */
  handleTimer(event: JobEvent): void {
    if (event === JobEvent.DEADLINE) this.problem ??= Problem.DEADLINE_PASSED;
    this.chart.send(event);
  }

  /** Cancels the job; it ends once the tasks that have started have ended. */
  cancel(problem: Problem): void {
    this.problem ??= problem;
    this.chart.send(JobEvent.CANCEL);
  }

  /** Marks all tasks that have not ended as ended with an unknown result. */
  endUnknown(): void {
    for (const task of this.tasks) {
      if (ENDS[task.state] === undefined) task.state = EntryTaskState.UNKNOWN;
    }
    this.endedCount = this.tasks.length;
  }

  /** Returns the answer; call it only when `isOver` is true. */
  describeAnswer(): JobAnswer {
    if (this.chart.state === JobState.COMPLETE) {
      return {
        outcome: Outcome.COMPLETE,
        problem: undefined,
        results: this.tasks.map(task => task.result),
        faults: [],
      };
    }
    return {
      outcome: this.judgeOutcome(),
      problem: this.problem ?? Problem.INTERNAL,
      results: [],
      faults: this.listFaults(),
    };
  }

  /** Stops all timers of the job. */
  stopTimers(): void {
    this.chart.stopTimers();
  }

  private handleReturn(index: number): TaskEndEffect {
    if (this.chart.state !== JobState.FAILING) return TaskEndEffect.REQUEUE;
    this.drop(index);
    return TaskEndEffect.NONE;
  }

  private recordFault(problem: Problem): void {
    this.problem ??= problem;
    this.chart.send(JobEvent.TASK_FAULTED);
  }

  private countEnd(): void {
    this.endedCount += 1;
    if (this.endedCount < this.tasks.length) return;
    const isComplete = this.succeededCount === this.tasks.length;
    this.chart.send(isComplete ? JobEvent.ALL_SUCCEEDED : JobEvent.ALL_ENDED);
  }

  private stepTask(index: number, event: EntryTaskEvent): void {
    const task = this.tasks[index];
    task.state = TASK_CHART.step(task.state, event).state;
  }

  private judgeOutcome(): Outcome {
    const states = new Set(this.tasks.map(task => task.state));
    if (states.has(EntryTaskState.UNKNOWN)) return Outcome.UNKNOWN;
    const isUnstarted =
      states.size === 1 && states.has(EntryTaskState.NOT_STARTED);
    return isUnstarted ? Outcome.DID_NOT_RUN : Outcome.FAILED;
  }

  private listFaults(): TaskFault[] {
    const faults: TaskFault[] = [];
    for (const [index, task] of this.tasks.entries()) {
      const end = ENDS[task.state];
      if (end === undefined || end === TaskEnd.SUCCEEDED) continue;
      if (faults.length >= MAX_FAULTS) break;
      const detail = DECODER.decode(task.result);
      faults.push({
        index,
        end,
        targetStatus: task.targetStatus,
        detail: detail.slice(0, MAX_DETAIL_CHARACTERS),
      });
    }
    return faults;
  }
}
