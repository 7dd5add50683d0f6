/** Whether a task should leave a target that has turned slow. */

/** A run in progress, times in milliseconds. */
export interface SlowRun {
  /** Expected run time on a typical target. */
  readonly estimateMs: number;
  /** Time since it was ordered. */
  readonly elapsedMs: number;
  /** Run time on its target, against a typical one. */
  readonly slowness: number;
}

/**
 * Slowness from which a target is left. The slowest sound targets take 1.6
 * times as long as a typical one; those with a fault six times.
 */
const LEAST_SLOWNESS = 3;

/** Run times elsewhere that the rest must exceed, and this much more. */
const LEAST_REST = 1.5;
const MOVE_COST_MS = 100;

/**
 * Tells whether to stop a run and begin the task anew on another target. The
 * slowness must be against a typical target: where all estimates are too low, all
 * targets look slow, and to move would never end.
 */
export function isWorthMoving(run: SlowRun): boolean {
  const {estimateMs, elapsedMs, slowness} = run;
  if (slowness < LEAST_SLOWNESS) return false;
  const restMs = estimateMs * slowness - elapsedMs;
  return restMs > estimateMs * LEAST_REST + MOVE_COST_MS;
}
