/** Judges from the state of a run whether it was in progress as its target crashed. */
import {RunEvidence} from '../core/target_crash.js';
import {RunState} from './held_run.js';
import type {HeldRun} from './held_run.js';

/**
 * Share of its estimate that a run takes at least. After it, a run may have ended
 * without its agent having been told.
 */
const MIN_RUN_SHARE = 0.5;

/** The crash of a target as its agent sees it. */
export interface ObservedCrash {
  /** Incarnation of the target that crashed. */
  readonly life: string;
  /** What the agent held for it. */
  readonly runs: readonly HeldRun[];
  /** Monotonic time in milliseconds of the first sign of the crash. */
  readonly signAtMs: number;
  /** Time until which the lease of its runs has certainly lasted. */
  readonly leaseHeldUntilMs: number;
}

/** Judges a run; undefined if it was not on the target that crashed. */
export function judgeEvidence(
  {state, order, startSentAtMs}: HeldRun,
  {
    signAtMs,
    leaseHeldUntilMs,
  }: Pick<ObservedCrash, 'signAtMs' | 'leaseHeldUntilMs'>,
): RunEvidence | undefined {
  switch (state) {
    // The order of an uncertain run was sent to an earlier incarnation.
    case RunState.UNCERTAIN:
    case RunState.QUEUED:
    case RunState.ENDED:
      return undefined;
    case RunState.RUNNING: {
      const mayHaveEnded =
        signAtMs - startSentAtMs >= MIN_RUN_SHARE * order.estimateMs ||
        signAtMs >= leaseHeldUntilMs;
      return mayHaveEnded ? RunEvidence.UNKNOWN : RunEvidence.RAN;
    }
    case RunState.STARTING:
    case RunState.REVOKING:
    case RunState.SEVERED:
    case RunState.STOPPING:
      return RunEvidence.UNKNOWN;
  }
}
