/** What a dispatcher counts. */
import {Outcome} from '../core/job.js';
import type {JobAnswer} from '../decisions/job_run.js';

/** Counts since the start of the process. */
export interface DispatcherCounters {
  jobs: number;
  jobsComplete: number;
  jobsFailed: number;
  jobsRefused: number;
  tasks: number;
  /** Start orders sent to agents. */
  ordersSent: number;
  /** Start orders that led to no start. */
  ordersReturned: number;
  withdrawals: number;
  framesSent: number;
  loadReports: number;
  pings: number;
}

/** What a dispatcher holds at a moment. */
export interface DispatcherGauges {
  readonly jobsRunning: number;
  /** Tasks that wait for an agent. */
  readonly tasksWaiting: number;
  /** Keys remembered. */
  readonly keys: number;
}

/** Creates counters at zero. */
export function createDispatcherCounters(): DispatcherCounters {
  return {
    jobs: 0,
    jobsComplete: 0,
    jobsFailed: 0,
    jobsRefused: 0,
    tasks: 0,
    ordersSent: 0,
    ordersReturned: 0,
    withdrawals: 0,
    framesSent: 0,
    loadReports: 0,
    pings: 0,
  };
}

/** Counts an answer. */
export function countAnswer(
  counters: DispatcherCounters,
  answer: JobAnswer,
): void {
  if (answer.outcome === Outcome.COMPLETE) counters.jobsComplete += 1;
  else counters.jobsFailed += 1;
}
