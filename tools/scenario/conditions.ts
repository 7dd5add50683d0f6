/** Checks for the conditions that a scenario can wait for. */
import type {CheckCondition} from './await_condition.js';
import {ProcessState} from './child_process_task.js';
import {ConditionKind} from './step.js';
import type {AwaitStep} from './step.js';
import type {RecordedStart} from './evidence.js';
import {ScenarioError} from './scenario_error.js';
import type {ScenarioContext} from './scenario_context.js';

/**
 * Creates the check for an await step. Conditions that count starts or answers
 * of a load count only those after this call.
 */
export async function createConditionCheck(
  context: ScenarioContext,
  step: AwaitStep,
): Promise<CheckCondition> {
  switch (step.condition) {
    case ConditionKind.READY:
      return async () => {
        const ready = await Promise.all(
          step.of.map(name => context.checkReadiness(name)),
        );
        return ready.every(isReady => isReady);
      };
    case ConditionKind.EXITED:
      return () => step.of.every(name => isEnded(context, name));
    case ConditionKind.STARTED:
      return createStartCheck(context, step, start =>
        listTaskIds(context, step).has(start.taskId),
      );
    case ConditionKind.STARTS_IN:
      return createStartCheck(
        context,
        step,
        createStartFilter(context, start => step.of.includes(start.dataCentre)),
      );
    case ConditionKind.STARTS_AT:
      return createStartCheck(
        context,
        step,
        createStartFilter(context, start => step.of.includes(start.target)),
      );
    case ConditionKind.ANSWERS:
      return createAnswerCheck(context, step);
    case ConditionKind.IN_FORCE:
      return () =>
        step.of.every(name =>
          Number.isFinite(context.evidence.findChange(name)?.inForceAtMs),
        );
    case ConditionKind.TARGETS_PRESENT:
      return async () => {
        const counts = await Promise.all(
          step.of.map(name => context.countTargets(name)),
        );
        return counts.every(count => count >= step.atLeast);
      };
    case ConditionKind.ANSWERED:
      throw new ScenarioError(
        'Condition "answered" is awaited by the promise of the submission.',
      );
  }
}

function isEnded(context: ScenarioContext, name: string): boolean {
  return context.fleet.findProcess(name).state === ProcessState.ENDED;
}

function createStartCheck(
  context: ScenarioContext,
  step: AwaitStep,
  matches: (start: RecordedStart) => boolean,
): CheckCondition {
  return async () => {
    await context.readRecords();
    const count = context.evidence.listStarts().filter(matches).length;
    return count >= step.atLeast;
  };
}

function createStartFilter(
  context: ScenarioContext,
  matches: (start: RecordedStart) => boolean,
): (start: RecordedStart) => boolean {
  const fromMs = context.clock.readMs();
  return start => start.startedAtMs >= fromMs && matches(start);
}

function createAnswerCheck(
  context: ScenarioContext,
  step: AwaitStep,
): CheckCondition {
  const fromMs = context.clock.readMs();
  return () => {
    const answered = context.evidence
      .listSubmissions()
      .filter(
        ({group, endedAtMs, answer}) =>
          step.of.includes(group) &&
          endedAtMs >= fromMs &&
          answer?.body?.outcome === 'complete',
      );
    return answered.length >= step.atLeast;
  };
}

function listTaskIds(context: ScenarioContext, step: AwaitStep): Set<string> {
  const ids = step.of.flatMap(
    name => context.submissions.get(name)?.request.body.taskIds ?? [],
  );
  return new Set(ids);
}
