/** Walks through the steps of a scenario and hands each to its action. */
import {StepKind} from './step.js';
import type {ParallelStep, Step} from './step.js';
import type {WriteLine} from './timeline.js';

/** Kinds of step that need an action from outside. */
export type ActionKind = Exclude<StepKind, StepKind.PARALLEL>;

/** The step of one kind. */
export type StepOf<K extends StepKind> = Extract<Step, {kind: K}>;

/** Carries out the steps, kind by kind. */
export type StepActions = {
  readonly [K in ActionKind]: (step: StepOf<K>) => Promise<void>;
};

/** Carries out steps one after the other; the first failure ends the walk. */
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
    return interpretTogether(step, actions, writeLine);
  }
  writeLine(formatStep(step));
  const act = actions[step.kind] as (step: Step) => Promise<void>;
  await act(step);
}

/** Waits for all of the steps, also when one of them fails. */
async function interpretTogether(
  step: ParallelStep,
  actions: StepActions,
  writeLine: WriteLine,
): Promise<void> {
  const ends = await Promise.allSettled(
    step.steps.map(inner => interpretStep(inner, actions, writeLine)),
  );
  const failed = ends.find(end => end.status === 'rejected');
  if (failed !== undefined) throw failed.reason;
}

/** Formats a step for the timeline. */
export function formatStep(step: Step): string {
  const {kind, ...body} = step;
  const words = Object.entries(body)
    .filter(([, value]) => value !== '' && value !== 0 && value !== false)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${kind} ${words.join(' ')}`;
}

function formatValue(value: unknown): string {
  if (Array.isArray(value)) return value.map(formatValue).join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
