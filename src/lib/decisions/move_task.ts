/** Decides whether a task should be moved away from a target that became slow. */

/** A run in progress; times are in milliseconds. */
export interface SlowRun {
  /** Expected run time on a typical target. */
  readonly estimateMs: number;
  /** Time since the run was ordered. */
  readonly elapsedMs: number;
  /** Ratio of the run time on its target to that on a typical target. */
  readonly slowness: number;
}

/**
 * Slowness from which runs are moved away from a target. The slowest healthy
 * targets take 1.6 times as long as a typical one, faulty ones six times.
 */
const MIN_SLOWNESS = 3;

/**
 * Remaining run time that a move requires: a multiple of the run time elsewhere
 * plus the cost of the move.
 */
const MIN_REMAINING_FACTOR = 1.5;
const MOVE_COST_MS = 100;

/**
 * Returns whether to stop a run and restart the task on another target. The
 * slowness has to be relative to a typical target: if all estimates are too low,
 * all targets look slow, and tasks would be moved without end.
 */
export function isWorthMoving(run: SlowRun): boolean {
  const {estimateMs, elapsedMs, slowness} = run;
  if (slowness < MIN_SLOWNESS) return false;
  const remainingMs = estimateMs * slowness - elapsedMs;
  return remainingMs > estimateMs * MIN_REMAINING_FACTOR + MOVE_COST_MS;
}
