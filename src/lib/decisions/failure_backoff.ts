/** Backoff of one agent's target, adapted to how its tasks end. */

/**
 * Backoff of one agent, from 0 for trusted to 1 for fully backed off.
 *
 * Follows "Worker Backpressure (Part 1)", Canva engineering: a controller
 * adjusts one number after each outcome, relative to a share of failures that
 * counts as background noise. Concurrency is not scaled between 0 and 1, since
 * measurements with and without scaling showed no job saved by it.
 */
export interface FailureBackoff {
  readonly level: number;
}

/** Least share of failures that counts as normal. */
export const MIN_SET_POINT = 0.05;

/** Backoff that one failure adds at a set point of 0. */
const FAILURE_STEP = 0.25;

/** Share of the current backoff that a success removes, for a fast recovery. */
const SUCCESS_DECAY = 0.2;

/** Backoff of an agent without recorded failures. */
export const NO_BACKOFF: FailureBackoff = {level: 0};

/**
 * Adjusts the backoff by one outcome.
 *
 * @param setPoint Share of failures that is normal; at 1 failures are attributed
 *     to the tasks, not the target, and add nothing.
 */
export function recordOutcome(
  backoff: FailureBackoff,
  isSuccess: boolean,
  setPoint: number,
): FailureBackoff {
  if (!isSuccess) {
    const step = FAILURE_STEP * (1 - setPoint);
    return {level: Math.min(1, backoff.level + step)};
  }
  if (backoff.level === 0) return backoff;
  const decayed = backoff.level * (1 - SUCCESS_DECAY);
  return {level: Math.max(0, decayed - FAILURE_STEP * setPoint)};
}

/**
 * Computes the set point from the share of agents whose last task failed.
 *
 * If half of the fleet fails, the tasks are at fault and no target backs off.
 */
export function computeSetPoint(failingShare: number): number {
  return Math.min(1, Math.max(MIN_SET_POINT, 2 * failingShare));
}
