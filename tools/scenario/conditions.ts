/** The conditions that a scenario can wait for, as checks on its scene. */
import type {CheckCondition} from './await_condition.js';
import {ProcessState} from './child_process_task.js';
import {ConditionKind} from './step.js';
import type {AwaitStep} from './step.js';
import type {RecordedStart} from './evidence.js';
import {ScenarioError} from './scenario_error.js';
import type {Scene} from './scene.js';

/**
 * Creates the check for a step. Conditions that count starts or answers of a
 * load count from the moment of the step.
 */
export async function createConditionCheck(
  scene: Scene,
  step: AwaitStep,
): Promise<CheckCondition> {
  switch (step.condition) {
    case ConditionKind.READY:
      return async () => {
        const ready = await Promise.all(
          step.of.map(name => scene.checkReadiness(name)),
        );
        return ready.every(isReady => isReady);
      };
    case ConditionKind.EXITED:
      return () => step.of.every(name => isEnded(scene, name));
    case ConditionKind.STARTED:
      return createStartCheck(scene, step, start =>
        listTaskIds(scene, step).has(start.taskId),
      );
    case ConditionKind.STARTS_IN:
      return createStartCheck(
        scene,
        step,
        createNewStartTest(scene, start => step.of.includes(start.dataCentre)),
      );
    case ConditionKind.STARTS_AT:
      return createStartCheck(
        scene,
        step,
        createNewStartTest(scene, start => step.of.includes(start.target)),
      );
    case ConditionKind.ANSWERS:
      return createAnswerCheck(scene, step);
    case ConditionKind.IN_FORCE:
      return () =>
        step.of.every(name =>
          Number.isFinite(scene.observer.findChange(name)?.inForceAtMs),
        );
    case ConditionKind.TARGETS_PRESENT:
      return async () => {
        const counts = await Promise.all(
          step.of.map(name => scene.countTargets(name)),
        );
        return counts.every(count => count >= step.atLeast);
      };
    case ConditionKind.ANSWERED:
      throw new ScenarioError('Answers are awaited by their promise.');
  }
}

function isEnded(scene: Scene, name: string): boolean {
  return scene.fleet.findProcess(name).state === ProcessState.ENDED;
}

function createStartCheck(
  scene: Scene,
  step: AwaitStep,
  test: (start: RecordedStart) => boolean,
): CheckCondition {
  return async () => {
    await scene.readRecords();
    const count = scene.observer.listStarts().filter(test).length;
    return count >= step.atLeast;
  };
}

function createNewStartTest(
  scene: Scene,
  test: (start: RecordedStart) => boolean,
): (start: RecordedStart) => boolean {
  const sinceMs = scene.clock.readMs();
  return start => start.startedAtMs >= sinceMs && test(start);
}

function createAnswerCheck(scene: Scene, step: AwaitStep): CheckCondition {
  const sinceMs = scene.clock.readMs();
  return () => {
    const answered = scene.observer
      .listSubmissions()
      .filter(
        ({group, endedAtMs, answer}) =>
          step.of.includes(group) &&
          endedAtMs >= sinceMs &&
          answer?.body?.outcome === 'complete',
      );
    return answered.length >= step.atLeast;
  };
}

function listTaskIds(scene: Scene, step: AwaitStep): Set<string> {
  const ids = step.of.flatMap(
    name => scene.submissions.get(name)?.order.body.taskIds ?? [],
  );
  return new Set(ids);
}
