/** Evidence against one agent's target, learnt from how its tasks ended. */

/**
 * Backoff of one agent: 0 is trusted, 1 is fully backed off.
 *
 * The idea is that of "Worker Backpressure (Part 1)", Canva engineering: a
 * controller moves one number after each outcome, against a share of failures
 * that counts as background noise. Concurrency is not scaled by it between the
 * two ends: measured with and without, that saved no job.
 */
export interface FailureBackoff {
  readonly level: number;
}

/** Least share of failures that is taken as ordinary. */
export const LEAST_SET_POINT = 0.05;

/** Backoff that one failure adds when none are ordinary. */
const FAILURE_STEP = 0.25;

/** Share of the current backoff that a success removes, for a quick return. */
const SUCCESS_DECAY = 0.2;

/** An agent of which nothing bad is known. */
export const NO_BACKOFF: FailureBackoff = {level: 0};

/**
 * Moves the backoff by one outcome.
 *
 * @param setPoint Share of failures that is ordinary; at 1 failures are the
 *     tasks' fault, not the target's, and add nothing.
 */
export function recordOutcome(
  limit: FailureBackoff,
  isSuccess: boolean,
  setPoint: number,
): FailureBackoff {
  if (!isSuccess) {
    const step = FAILURE_STEP * (1 - setPoint);
    return {level: Math.min(1, limit.level + step)};
  }
  if (limit.level === 0) return limit;
  const decayed = limit.level * (1 - SUCCESS_DECAY);
  return {level: Math.max(0, decayed - FAILURE_STEP * setPoint)};
}

/**
 * Works out the set point from the share of agents whose last task failed.
 *
 * Where half of the fleet fails, the tasks are at fault: no target is blamed.
 */
export function computeSetPoint(failingShare: number): number {
  return Math.min(1, Math.max(LEAST_SET_POINT, 2 * failingShare));
}
