/** The steps of a scenario that start, signal and end processes. */
import {awaitCondition, awaitWithin} from './await_condition.js';
import {ProcessEvent} from './child_process_task.js';
import type {ProcessEnd} from './child_process_task.js';
import {ProcessKind} from './fleet_plan.js';
import type {StepOf} from './interpret_steps.js';
import {ScenarioError} from './scenario_error.js';
import type {Scene} from './scene.js';
import type {ProcessStep, StepKind} from './step.js';

const END_TIMEOUT_MS = 40_000;

/** Kills processes and waits for their ends. */
export async function killProcesses(
  scene: Scene,
  step: ProcessStep,
): Promise<void> {
  for (const name of step.processes) {
    // The record of a target ends with its process.
    if (scene.fleet.findPlan(name).kind === ProcessKind.TARGET) {
      await scene.readRecord(name);
    }
    await scene.fleet.findProcess(name).send(ProcessEvent.KILL);
    await awaitEnd(scene, name);
  }
}

/** Sends an event to processes. */
export async function signalAll(
  scene: Scene,
  step: ProcessStep,
  event: ProcessEvent,
): Promise<void> {
  const owners = step.processes.map(name => scene.fleet.findProcess(name));
  await Promise.all(owners.map(owner => owner.send(event)));
}

/** Kills processes and starts them anew. */
export async function restartProcesses(
  scene: Scene,
  step: ProcessStep,
): Promise<void> {
  for (const name of step.processes) {
    await killProcesses(scene, {...step, processes: [name]});
    await scene.fleet.start([name]);
  }
}

/** Replaces each process by a graceful stop and a new start. */
export async function replaceProcesses(
  scene: Scene,
  step: StepOf<StepKind.ROLL>,
): Promise<void> {
  const expected = scene.fleet.listServing(ProcessKind.TARGET).length;
  for (const name of step.processes) {
    await scene.fleet.findProcess(name).send(ProcessEvent.STOP);
    const end = await awaitEnd(scene, name);
    if (end.code !== 0) {
      throw new ScenarioError(
        `${name} stopped with ${end.signal ?? `code ${end.code}`}, not code 0.`,
      );
    }
    await scene.fleet.start([name]);
    await awaitCondition(
      `every entry sees ${expected} targets after ${name} was replaced`,
      step.withinMs,
      () => scene.checkTargets(expected),
      scene.clock,
    );
    scene.writeLine(`${name} is replaced`);
  }
}

function awaitEnd(scene: Scene, name: string): Promise<ProcessEnd> {
  return awaitWithin(
    `${name} has ended`,
    END_TIMEOUT_MS,
    scene.fleet.findProcess(name).awaitEnd(),
    scene.clock.startTimer,
  );
}
