/** Draws sequences in which targets crash, some of them by the tasks that they run. */
import fc from 'fast-check';
import {createStepModel, LENGTHS, WorkStepKind} from './work_step.js';
import type {WorkStep} from './work_step.js';

/** Steps that end lives of targets, without any other fault. */
export const TARGET_KINDS: readonly WorkStepKind[] = [
  WorkStepKind.CRASH_RACK,
  WorkStepKind.CRASH_RACK,
  WorkStepKind.CRASH_TARGET,
  WorkStepKind.DRAIN_TARGET,
  WorkStepKind.NOTICE_TARGET,
];

/** Steps that submit a task that crashes targets. */
export const CRASHING_KINDS: readonly WorkStepKind[] = [
  WorkStepKind.SUBMIT_CRASHING,
  WorkStepKind.SUBMIT_CRASHING,
];

/** Number of targets that a task crashes which always does so. */
const ALWAYS = 1000;

/** Time in milliseconds that a crashing task would run on after its crash. */
const MIN_REST_MS = 50;

/** Creates sequences of steps of some kinds among submissions. */
export function createCrashSteps(
  kinds: readonly WorkStepKind[],
): fc.Arbitrary<WorkStep[]> {
  const model = fc.record({
    ...createStepModel(kinds),
    crash: fc.record({
      afterMs: fc.oneof(
        fc.integer({min: 0, max: 20}),
        fc.integer({min: 20, max: 300}),
        fc.integer({min: 300, max: 2000}),
      ),
      crashesAtMost: fc.constantFrom(1, ALWAYS, ALWAYS),
    }),
  });
  return fc.array(model.map(completeStep), LENGTHS);
}

function completeStep({crash, ...step}: Required<WorkStep>): WorkStep {
  if (step.kind !== WorkStepKind.SUBMIT_CRASHING) return step;
  const runMs = Math.max(step.runMs, crash.afterMs + MIN_REST_MS);
  return {...step, runMs, crash};
}
