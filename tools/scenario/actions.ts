/** The actions that carry out the steps of a scenario. */
import {awaitCondition, awaitWithin, pause} from './await_condition.js';
import {ProcessEvent} from './child_process_task.js';
import type {SubmissionRequest} from './caller_task.js';
import {createConditionCheck} from './conditions.js';
import {
  ConditionKind,
  TaskBehaviour,
  StepKind,
  StoreMode,
  TargetMode,
} from './step.js';
import type {AwaitStep, JobDefinition, MarkStep} from './step.js';
import {Listener, STORE_NAME} from './fleet_plan.js';
import type {StepActions, StepOf} from './interpret_steps.js';
import {createJobBody} from './job_body.js';
import {LoadRunner} from './load_runner.js';
import {changeDataCentre, writeRecord} from './operator_actions.js';
import {
  killProcesses,
  replaceProcesses,
  restartProcesses,
  signalProcesses,
} from './process_actions.js';
import {ScenarioError} from './scenario_error.js';
import type {ScenarioContext} from './scenario_context.js';
import {
  createLinkControl,
  createStoreControl,
  createTargetControl,
  postControl,
} from './stand_in_controls.js';

const STATUS_CANCELLED = 409;
const KEY_TIMEOUT_MS = 5_000;

/** Job that is submitted under a key already used for a different body. */
const CONFLICTING_JOB: JobDefinition = {
  tasks: 2,
  deed: TaskBehaviour.SLEEP,
  ms: 10,
  bytes: 0,
  failing: 0,
  deadlineMs: 10_000,
  team: '',
};

/** Creates the action for each kind of step. */
export function createActions(context: ScenarioContext): StepActions {
  return {
    [StepKind.START]: step => context.fleet.start(step.processes),
    [StepKind.SUBMIT]: step => submitJob(context, step),
    [StepKind.RESUBMIT]: step => resubmitJob(context, step),
    [StepKind.LOAD]: step => startLoad(context, step),
    [StepKind.END_LOAD]: step => endLoad(context, step),
    [StepKind.CANCEL]: step => cancelJob(context, step),
    [StepKind.KILL]: step => killProcesses(context, step),
    [StepKind.FREEZE]: step =>
      signalProcesses(context, step, ProcessEvent.FREEZE),
    [StepKind.THAW]: step => signalProcesses(context, step, ProcessEvent.THAW),
    [StepKind.STOP]: step => signalProcesses(context, step, ProcessEvent.STOP),
    [StepKind.RESTART]: step => restartProcesses(context, step),
    [StepKind.ROLL]: step => replaceProcesses(context, step),
    [StepKind.LINK]: step => changeLink(context, step),
    [StepKind.STORE]: step => changeStore(context, step),
    [StepKind.DATA_CENTRE]: step => changeDataCentre(context, step),
    [StepKind.RECORD]: step => writeRecord(context, step),
    [StepKind.PUT_VALUE]: step => context.putValue(step.key, step.value),
    [StepKind.TARGET]: step => changeTarget(context, step),
    [StepKind.MARK]: async step => markMoment(context, step),
    [StepKind.OBSERVE]: step => pause(step.ms, context.clock.startTimer),
    [StepKind.AWAIT]: step => awaitStep(context, step),
  };
}

async function submitJob(
  context: ScenarioContext,
  step: StepOf<StepKind.SUBMIT>,
): Promise<void> {
  const request: SubmissionRequest = {
    name: step.name,
    group: step.name,
    job: step.name,
    keyName: step.name,
    via: step.via,
    sessionFrom: step.isKeyed ? step.sessionFrom || step.via : '',
    body: createJobBody(step.name, step.job),
    team: step.job.team,
  };
  if (step.alsoVia.length === 0) {
    return startSubmission(context, request, step.inBackground);
  }
  const key = await context.caller.createKey(request);
  const duplicates = step.alsoVia.map(via => ({
    ...request,
    name: `${step.name}-${via}`,
    via,
  }));
  await Promise.all(
    [request, ...duplicates].map(duplicate =>
      startSubmission(context, {...duplicate, key}, step.inBackground),
    ),
  );
}

async function resubmitJob(
  context: ScenarioContext,
  step: StepOf<StepKind.RESUBMIT>,
): Promise<void> {
  const {request: first} = findSubmission(context, step.of);
  await awaitCondition(
    `submission ${step.of} has a key`,
    KEY_TIMEOUT_MS,
    () => context.caller.findKey(step.of) !== '',
    context.clock,
  );
  const request: SubmissionRequest = {
    ...first,
    name: step.name,
    via: step.via,
    key: context.caller.findKey(step.of),
    job: step.isOtherBody ? step.name : first.job,
    body: step.isOtherBody
      ? createJobBody(step.name, {...CONFLICTING_JOB, team: first.team})
      : first.body,
  };
  await startSubmission(context, request, step.inBackground);
}

async function startSubmission(
  context: ScenarioContext,
  request: SubmissionRequest,
  inBackground: boolean,
): Promise<void> {
  const result = context.caller.submit(request);
  context.submissions.set(request.name, {request, result});
  if (!inBackground) await result;
}

function startLoad(
  context: ScenarioContext,
  step: StepOf<StepKind.LOAD>,
): Promise<void> {
  const {caller, clock} = context;
  context.loads.set(
    step.name,
    LoadRunner.create({step, caller, startTimer: clock.startTimer}),
  );
  return Promise.resolve();
}

async function endLoad(
  context: ScenarioContext,
  step: StepOf<StepKind.END_LOAD>,
): Promise<void> {
  const load = context.loads.get(step.name);
  if (load === undefined) {
    throw new ScenarioError(`Unknown load "${step.name}".`);
  }
  await awaitWithin(
    `load ${step.name} has received all answers`,
    step.withinMs,
    load.finish(),
    context.clock.startTimer,
  );
}

async function cancelJob(
  context: ScenarioContext,
  step: StepOf<StepKind.CANCEL>,
): Promise<void> {
  const key = encodeURIComponent(context.caller.findKey(step.of));
  const address = context.fleet.findCallersAddress(step.via);
  const url = `${address}/v1/jobs/${key}`;
  const {status, text} = await context.call({method: 'DELETE', url});
  // 409 carries the final answer of the cancelled job; 2xx carries its progress.
  if (status !== STATUS_CANCELLED && status >= 300) {
    throw new ScenarioError(
      `Cancellation failed with status ${status}: ${text}`,
    );
  }
}

async function changeLink(
  context: ScenarioContext,
  step: StepOf<StepKind.LINK>,
): Promise<void> {
  const address = context.fleet.findAddress(step.name, Listener.CONTROL);
  await postControl(context.call, address, createLinkControl(step));
}

async function changeStore(
  context: ScenarioContext,
  step: StepOf<StepKind.STORE>,
): Promise<void> {
  const address = context.fleet.findAddress(STORE_NAME, Listener.MAIN);
  const revision = context.evidence.findChange(step.revisionOf)?.revision ?? 0;
  if (step.mode === StoreMode.STALE && revision === 0) {
    throw new ScenarioError(`Unknown change "${step.revisionOf}".`);
  }
  await postControl(context.call, address, createStoreControl(step, revision));
}

async function changeTarget(
  context: ScenarioContext,
  step: StepOf<StepKind.TARGET>,
): Promise<void> {
  const address = context.fleet.findAddress(step.name, Listener.MAIN);
  await postControl(context.call, address, createTargetControl(step));
  if (step.change === '') return;
  const to = step.mode === TargetMode.NORMAL ? 'back' : 'left';
  markMoment(context, {change: step.change, subject: step.name, to});
}

function markMoment(
  context: ScenarioContext,
  mark: Pick<MarkStep, 'change' | 'subject' | 'to'>,
): void {
  const acceptedAtMs = context.clock.readMs();
  context.evidence.setChange({
    name: mark.change,
    subject: mark.subject,
    to: mark.to,
    revision: 0,
    sentAtMs: acceptedAtMs,
    acceptedAtMs,
    inForceAtMs: acceptedAtMs,
  });
}

async function awaitStep(
  context: ScenarioContext,
  step: AwaitStep,
): Promise<void> {
  const text = `${step.condition} ${step.of.join(', ')}`;
  if (step.condition === ConditionKind.ANSWERED) {
    const results = step.of.map(name => findSubmission(context, name).result);
    await awaitWithin(
      text,
      step.withinMs,
      Promise.all(results),
      context.clock.startTimer,
    );
    return;
  }
  const check = await createConditionCheck(context, step);
  await awaitCondition(text, step.withinMs, check, context.clock);
}

function findSubmission(context: ScenarioContext, name: string) {
  const found = context.submissions.get(name);
  if (found === undefined) {
    throw new ScenarioError(`Unknown submission "${name}".`);
  }
  return found;
}
