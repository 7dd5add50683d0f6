/** Scheduling orders of the jobs of one team. */

/** Properties of a job that determine its rank. */
export interface RankedJob {
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly value: number;
  /** Shortest time in milliseconds in which the job could run on the idle fleet. */
  readonly idealMs: number;
  /** Sum of the tasks' expected run times in milliseconds. */
  readonly workMs: number;
}

/** Returns a job's rank within its team; lower ranks are served first. */
export type RankJob = (job: RankedJob) => number;

/** Orders by their names in the settings. */
export enum JobOrder {
  STRETCH = 'stretch',
  ARRIVAL = 'arrival',
  DEADLINE = 'deadline',
  VALUE = 'value',
}

/** Multiple of its ideal time after which a job is due. */
const ALLOWED_STRETCH = 8;

/** Head start in milliseconds for ten times the value density. */
const VALUE_HEAD_START_MS = 5000;

/** Returns the ranking function of an order. */
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
 * Serves short jobs before long ones, which keeps response times near the ideal.
 * A long job is due once it has waited a multiple of its ideal time.
 */
export const rankByStretch: RankJob = job => {
  const due = job.arrivedAtMs + ALLOWED_STRETCH * job.idealMs;
  return Math.min(due, job.deadlineAtMs - job.idealMs);
};

/** Serves jobs in order of arrival. */
export const rankByArrival: RankJob = job => job.arrivedAtMs;

/** Serves jobs by their latest start. */
export const rankByDeadline: RankJob = job => job.deadlineAtMs - job.idealMs;

/** Serves jobs of high value density first; waiting time compensates for low value. */
export const rankByValue: RankJob = job =>
  job.arrivedAtMs - VALUE_HEAD_START_MS * Math.log10(computeDensity(job));

/** Returns a job's value density: its value per millisecond of work. */
export function computeDensity(job: {
  readonly value: number;
  readonly workMs: number;
}): number {
  return Math.max(Number.MIN_VALUE, job.value) / Math.max(1, job.workMs);
}
