/** The run time estimates of an entry, class by class. */
import {
  estimateRunMs,
  FIRST_ESTIMATE,
  recordObservation,
} from './run_time_estimate.js';
import type {RunTimeEstimate} from './run_time_estimate.js';

/** Classes that are told apart; callers may name any number. */
const CLASSES_AT_MOST = 1000;

/** Estimates the run times of tasks by what others of their class took. */
export class ClassRunTimes {
  private readonly estimates = new Map<string, RunTimeEstimate>();

  private constructor() {}

  /** Creates estimates that have seen no task. */
  static create(): ClassRunTimes {
    return new ClassRunTimes();
  }

  /** Returns the run time to expect of each task, in milliseconds. */
  estimateAll(taskClass: string, declaredMs: readonly number[]): number[] {
    const estimate = this.estimates.get(taskClass) ?? FIRST_ESTIMATE;
    return declaredMs.map(each => estimateRunMs(estimate, each));
  }

  /** Learns from one task that ended. */
  record(taskClass: string, declaredMs: number, runMs: number): void {
    const known = this.estimates.get(taskClass);
    if (known === undefined && this.estimates.size >= CLASSES_AT_MOST) return;
    const estimate = known ?? FIRST_ESTIMATE;
    const learnt = recordObservation(estimate, declaredMs, runMs);
    this.estimates.set(taskClass, learnt);
  }
}
