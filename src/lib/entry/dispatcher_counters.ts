/** Counters and gauges of a dispatcher. */
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
  /** Start orders whose task did not start. */
  ordersReturned: number;
  withdrawals: number;
  framesSent: number;
  loadReports: number;
  pings: number;
}

/** Current values of a dispatcher. */
export interface DispatcherGauges {
  readonly jobsRunning: number;
  /** Tasks that wait for an agent. */
  readonly tasksWaiting: number;
  /** Number of idempotency keys in the key tables. */
  readonly keys: number;
}

/** Returns counters that are all zero. */
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

/** Counts an answer as a complete or a failed job. */
export function countAnswer(
  counters: DispatcherCounters,
  answer: JobAnswer,
): void {
  if (answer.outcome === Outcome.COMPLETE) counters.jobsComplete += 1;
  else counters.jobsFailed += 1;
}
