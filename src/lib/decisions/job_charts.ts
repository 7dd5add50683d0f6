/** State charts of a job and of its tasks at the entry. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';

/** States of `charts/job.yaml`. */
export enum JobState {
  WAITING = 'waiting',
  RUNNING = 'running',
  FAILING = 'failing',
  COMPLETE = 'complete',
  FAILED = 'failed',
}

/** Events of `charts/job.yaml`. */
export enum JobEvent {
  TASK_SENT = 'taskSent',
  TASK_FAULTED = 'taskFaulted',
  ALL_SUCCEEDED = 'allSucceeded',
  ALL_ENDED = 'allEnded',
  CANCEL = 'cancel',
  DEADLINE = 'timer.deadline',
  SETTLE = 'timer.settle',
}

/** Actions of `charts/job.yaml`. */
export enum JobAction {
  WITHDRAW_TASKS = 'withdrawTasks',
  ABANDON_TASKS = 'abandonTasks',
  ANSWER = 'answer',
}

/** States of `charts/entry_task.yaml`. */
export enum EntryTaskState {
  WAITING = 'waiting',
  SENT = 'sent',
  WITHDRAWING = 'withdrawing',
  SUCCEEDED = 'succeeded',
  FAILED = 'failed',
  NOT_STARTED = 'notStarted',
  UNKNOWN = 'unknown',
}

/** Events of `charts/entry_task.yaml`. */
export enum EntryTaskEvent {
  SEND = 'send',
  DROP = 'drop',
  SUCCEEDED = 'succeeded',
  FAILED = 'failed',
  NOT_STARTED = 'notStarted',
  LOST = 'lost',
  WITHDRAW = 'withdraw',
}

/** Interprets `charts/job.yaml`. */
export const JOB_CHART = Chart.create(readChart('job'), {
  states: JobState,
  events: JobEvent,
  actions: Object.values(JobAction),
});

/** Interprets `charts/entry_task.yaml`. */
export const TASK_CHART = Chart.create(readChart('entry_task'), {
  states: EntryTaskState,
  events: EntryTaskEvent,
});
