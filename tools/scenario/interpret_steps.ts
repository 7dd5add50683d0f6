/** Runs the steps of a scenario by passing each to the action for its kind. */
import {StepKind} from './step.js';
import type {ParallelStep, Step} from './step.js';
import type {WriteLine} from './timeline.js';

/** Kinds of step with an action of their own. */
export type ActionKind = Exclude<StepKind, StepKind.PARALLEL>;

/** Type of the step of kind `K`. */
export type StepOf<K extends StepKind> = Extract<Step, {kind: K}>;

/** One action for each kind of step. */
export type StepActions = {
  readonly [K in ActionKind]: (step: StepOf<K>) => Promise<void>;
};

/** Runs steps in sequence and stops at the first failure. */
export async function interpretSteps(
  steps: readonly Step[],
  actions: StepActions,
  writeLine: WriteLine,
): Promise<void> {
  for (const step of steps) await interpretStep(step, actions, writeLine);
}

async function interpretStep(
  step: Step,
  actions: StepActions,
  writeLine: WriteLine,
): Promise<void> {
  if (step.kind === StepKind.PARALLEL) {
    return interpretParallel(step, actions, writeLine);
  }
  writeLine(formatStep(step));
  const action = actions[step.kind] as (step: Step) => Promise<void>;
  await action(step);
}

/** Runs steps concurrently and waits for all of them, even if one fails. */
async function interpretParallel(
  step: ParallelStep,
  actions: StepActions,
  writeLine: WriteLine,
): Promise<void> {
  const results = await Promise.allSettled(
    step.steps.map(nested => interpretStep(nested, actions, writeLine)),
  );
  const failed = results.find(result => result.status === 'rejected');
  if (failed !== undefined) throw failed.reason;
}

/** Formats a step for the timeline, without empty, zero and false values. */
export function formatStep(step: Step): string {
  const {kind, ...body} = step;
  const fields = Object.entries(body)
    .filter(([, value]) => value !== '' && value !== 0 && value !== false)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${kind} ${fields.join(' ')}`;
}

function formatValue(value: unknown): string {
  if (Array.isArray(value)) return value.map(formatValue).join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
