/** Steps that start, signal and stop processes. */
import {awaitCondition, awaitWithin} from './await_condition.js';
import {ProcessEvent} from './child_process_task.js';
import type {ProcessEnd} from './child_process_task.js';
import {ProcessKind} from './fleet_plan.js';
import type {StepOf} from './interpret_steps.js';
import {ScenarioError} from './scenario_error.js';
import type {ScenarioContext} from './scenario_context.js';
import type {ProcessStep, StepKind} from './step.js';

const END_TIMEOUT_MS = 40_000;

/** Kills processes one by one and waits for each to exit. */
export async function killProcesses(
  context: ScenarioContext,
  step: ProcessStep,
): Promise<void> {
  for (const name of step.processes) {
    // The record of a target is lost with its process.
    if (context.fleet.findPlan(name).kind === ProcessKind.TARGET) {
      await context.readRecord(name);
    }
    await context.fleet.findProcess(name).send(ProcessEvent.KILL);
    await awaitEnd(context, name);
  }
}

/** Sends an event to processes concurrently. */
export async function signalProcesses(
  context: ScenarioContext,
  step: ProcessStep,
  event: ProcessEvent,
): Promise<void> {
  const tasks = step.processes.map(name => context.fleet.findProcess(name));
  await Promise.all(tasks.map(task => task.send(event)));
}

/** Kills and restarts processes one by one. */
export async function restartProcesses(
  context: ScenarioContext,
  step: ProcessStep,
): Promise<void> {
  for (const name of step.processes) {
    await killProcesses(context, {...step, processes: [name]});
    await context.fleet.start([name]);
  }
}

/** Replaces processes one by one by a graceful stop and a restart. */
export async function replaceProcesses(
  context: ScenarioContext,
  step: StepOf<StepKind.ROLL>,
): Promise<void> {
  const expected = context.fleet.listServing(ProcessKind.TARGET).length;
  for (const name of step.processes) {
    await context.fleet.findProcess(name).send(ProcessEvent.STOP);
    const result = await awaitEnd(context, name);
    if (result.code !== 0) {
      throw new ScenarioError(
        `${name} stopped with ${result.signal ?? `code ${result.code}`}, not code 0.`,
      );
    }
    await context.fleet.start([name]);
    await awaitCondition(
      `every entry lists ${expected} available targets after ${name} was replaced`,
      step.withinMs,
      () => context.checkTargets(expected),
      context.clock,
    );
    context.writeLine(`${name} was replaced`);
  }
}

function awaitEnd(context: ScenarioContext, name: string): Promise<ProcessEnd> {
  return awaitWithin(
    `${name} has exited`,
    END_TIMEOUT_MS,
    context.fleet.findProcess(name).awaitEnd(),
    context.clock.startTimer,
  );
}
