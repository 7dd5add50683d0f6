/** Runs of the stand-in for a target: requests, state and reports. */

/** How a run ended, as `finished` lists it, or with its target. */
export enum RunOutcome {
  DONE = 'done',
  FAILED = 'failed',
  STOPPED = 'stopped',
  LAPSED = 'lapsed',
  /** The incarnation of the target ended under it. */
  CRASHED = 'crashed',
}

/** A run in progress. */
export interface Run {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly startedAtMs: number;
  readonly timer: NodeJS.Timeout | undefined;
}

/** A start, or an end if there is an outcome, as a target sees it. */
export interface RunReport {
  readonly task: string;
  readonly run: number;
  readonly outcome?: RunOutcome;
  /** Time in milliseconds by which a check of the lease noticed its end late. */
  readonly lateMs: number;
}

/** Body of a request to a target. */
export interface RequestBody {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  readonly deadlineMs?: number;
  readonly fencingToken?: number;
  readonly ackedThrough?: number;
  readonly waitMs?: number;
}

/** Row of the list of finished runs. */
export type EndedRun = [
  number: number,
  task: string,
  run: number,
  outcome: string,
  savedState: string,
];
