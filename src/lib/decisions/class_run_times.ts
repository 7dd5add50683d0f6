/** The run time estimates of an entry, by task class. */
import {
  estimateRunMs,
  FIRST_ESTIMATE,
  recordObservation,
} from './run_time_estimate.js';
import type {RunTimeEstimate} from './run_time_estimate.js';

/** Maximum number of classes tracked; callers may name any number of them. */
const MAX_CLASSES = 1000;

/** Estimates the run times of tasks from earlier tasks of the same class. */
export class ClassRunTimes {
  private readonly estimates = new Map<string, RunTimeEstimate>();

  private constructor() {}

  /** Creates an instance without estimates. */
  static create(): ClassRunTimes {
    return new ClassRunTimes();
  }

  /** Returns the expected run time of each task in milliseconds. */
  estimateAll(taskClass: string, declaredMs: readonly number[]): number[] {
    const estimate = this.estimates.get(taskClass) ?? FIRST_ESTIMATE;
    return declaredMs.map(each => estimateRunMs(estimate, each));
  }

  /** Updates the estimate of the class with one task that ended. */
  record(taskClass: string, declaredMs: number, runMs: number): void {
    const known = this.estimates.get(taskClass);
    if (known === undefined && this.estimates.size >= MAX_CLASSES) return;
    const estimate = known ?? FIRST_ESTIMATE;
    const updated = recordObservation(estimate, declaredMs, runMs);
    this.estimates.set(taskClass, updated);
  }
}
