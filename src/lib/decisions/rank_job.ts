/** Orders in which the jobs of one team are served. */

/** What an order looks at. */
export interface RankedJob {
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly value: number;
  /** Shortest time in which the job could run on the idle fleet. */
  readonly idealMs: number;
  /** Sum of the tasks' expected run times. */
  readonly workMs: number;
}

/** Returns a job's rank in its team; lower ranks are served first. */
export type RankJob = (job: RankedJob) => number;

/** Names of the orders in the settings. */
export enum JobOrder {
  STRETCH = 'stretch',
  ARRIVAL = 'arrival',
  DEADLINE = 'deadline',
  VALUE = 'value',
}

/** Multiple of its ideal time that a job is allowed before it goes first. */
const ALLOWED_STRETCH = 8;

/** Time in milliseconds by which ten times the value density brings a job forward. */
const VALUE_HEAD_START_MS = 5000;

/** Returns the order of that name. */
export function selectRankJob(order: JobOrder): RankJob {
  switch (order) {
    case JobOrder.STRETCH:
      return rankByStretch;
    case JobOrder.ARRIVAL:
      return rankByArrival;
    case JobOrder.DEADLINE:
      return rankByDeadline;
    case JobOrder.VALUE:
      return rankByValue;
  }
}

/**
 * Serves short jobs before long ones, which keeps response times near the
 * ideal; a long job's turn comes once it has waited a multiple of its ideal.
 */
export const rankByStretch: RankJob = job => {
  const due = job.arrivedAtMs + ALLOWED_STRETCH * job.idealMs;
  return Math.min(due, job.deadlineAtMs - job.idealMs);
};

/** Serves jobs as they came. */
export const rankByArrival: RankJob = job => job.arrivedAtMs;

/** Serves the job first whose last chance to start comes first. */
export const rankByDeadline: RankJob = job => job.deadlineAtMs - job.idealMs;

/** Serves jobs of high value per work first; waiting makes up for low value. */
export const rankByValue: RankJob = job =>
  job.arrivedAtMs - VALUE_HEAD_START_MS * Math.log10(computeDensity(job));

/** Returns the value that a millisecond of a job's work delivers. */
export function computeDensity(job: {
  readonly value: number;
  readonly workMs: number;
}): number {
  return Math.max(Number.MIN_VALUE, job.value) / Math.max(1, job.workMs);
}
