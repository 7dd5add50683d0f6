/** Carries out the steps of a scenario on its scene. */
import {awaitCondition, awaitWithin, pause} from './await_condition.js';
import {ProcessEvent} from './child_process_task.js';
import type {SubmissionOrder} from './caller_task.js';
import {createConditionCheck} from './conditions.js';
import {ConditionKind, Deed, StepKind, StoreMode, TargetMode} from './step.js';
import type {AwaitStep, JobShape, MarkStep} from './step.js';
import {Listener, STORE_NAME} from './fleet_plan.js';
import type {StepActions, StepOf} from './interpret_steps.js';
import {createJobBody} from './job_body.js';
import {LoadRunner} from './load_runner.js';
import {changeDataCentre, writeRecord} from './operator_actions.js';
import {
  killProcesses,
  replaceProcesses,
  restartProcesses,
  signalAll,
} from './process_actions.js';
import {ScenarioError} from './scenario_error.js';
import type {Scene} from './scene.js';
import {
  createLinkControl,
  createStoreControl,
  createTargetControl,
  postControl,
} from './stand_in_controls.js';

const STATUS_CANCELLED = 409;
const KEY_TIMEOUT_MS = 5_000;

/** Body that is sent under a key that already stands for another one. */
const OTHER_BODY: JobShape = {
  tasks: 2,
  deed: Deed.SLEEP,
  ms: 10,
  bytes: 0,
  failing: 0,
  deadlineMs: 10_000,
  team: '',
};

/** Creates the actions that work on `scene`. */
export function createActions(scene: Scene): StepActions {
  return {
    [StepKind.START]: step => scene.fleet.start(step.processes),
    [StepKind.SUBMIT]: step => submitJob(scene, step),
    [StepKind.RESUBMIT]: step => resubmitJob(scene, step),
    [StepKind.LOAD]: step => startLoad(scene, step),
    [StepKind.END_LOAD]: step => endLoad(scene, step),
    [StepKind.CANCEL]: step => cancelJob(scene, step),
    [StepKind.KILL]: step => killProcesses(scene, step),
    [StepKind.FREEZE]: step => signalAll(scene, step, ProcessEvent.FREEZE),
    [StepKind.THAW]: step => signalAll(scene, step, ProcessEvent.THAW),
    [StepKind.STOP]: step => signalAll(scene, step, ProcessEvent.STOP),
    [StepKind.RESTART]: step => restartProcesses(scene, step),
    [StepKind.ROLL]: step => replaceProcesses(scene, step),
    [StepKind.LINK]: step => changeLink(scene, step),
    [StepKind.STORE]: step => changeStore(scene, step),
    [StepKind.DATA_CENTRE]: step => changeDataCentre(scene, step),
    [StepKind.RECORD]: step => writeRecord(scene, step),
    [StepKind.PUT_VALUE]: step => scene.putValue(step.key, step.value),
    [StepKind.TARGET]: step => changeTarget(scene, step),
    [StepKind.MARK]: async step => markMoment(scene, step),
    [StepKind.OBSERVE]: step => pause(step.ms, scene.clock.startTimer),
    [StepKind.AWAIT]: step => awaitStep(scene, step),
  };
}

async function submitJob(
  scene: Scene,
  step: StepOf<StepKind.SUBMIT>,
): Promise<void> {
  const order: SubmissionOrder = {
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
    return startSubmission(scene, order, step.inBackground);
  }
  const key = await scene.caller.createKey(order);
  const copies = step.alsoVia.map(via => ({
    ...order,
    name: `${step.name}-${via}`,
    via,
  }));
  await Promise.all(
    [order, ...copies].map(copy =>
      startSubmission(scene, {...copy, key}, step.inBackground),
    ),
  );
}

async function resubmitJob(
  scene: Scene,
  step: StepOf<StepKind.RESUBMIT>,
): Promise<void> {
  const {order: first} = findSubmission(scene, step.of);
  await awaitCondition(
    `submission ${step.of} has a key`,
    KEY_TIMEOUT_MS,
    () => scene.caller.findKey(step.of) !== '',
    scene.clock,
  );
  const order: SubmissionOrder = {
    ...first,
    name: step.name,
    via: step.via,
    key: scene.caller.findKey(step.of),
    job: step.isOtherBody ? step.name : first.job,
    body: step.isOtherBody
      ? createJobBody(step.name, {...OTHER_BODY, team: first.team})
      : first.body,
  };
  await startSubmission(scene, order, step.inBackground);
}

async function startSubmission(
  scene: Scene,
  order: SubmissionOrder,
  inBackground: boolean,
): Promise<void> {
  const end = scene.caller.submit(order);
  scene.submissions.set(order.name, {order, end});
  if (!inBackground) await end;
}

function startLoad(scene: Scene, step: StepOf<StepKind.LOAD>): Promise<void> {
  const {caller, clock} = scene;
  scene.loads.set(
    step.name,
    LoadRunner.create({step, caller, startTimer: clock.startTimer}),
  );
  return Promise.resolve();
}

async function endLoad(
  scene: Scene,
  step: StepOf<StepKind.END_LOAD>,
): Promise<void> {
  const load = scene.loads.get(step.name);
  if (load === undefined) {
    throw new ScenarioError(`There is no load "${step.name}".`);
  }
  await awaitWithin(
    `load ${step.name} has its answers`,
    step.withinMs,
    load.finish(),
    scene.clock.startTimer,
  );
}

async function cancelJob(
  scene: Scene,
  step: StepOf<StepKind.CANCEL>,
): Promise<void> {
  const key = encodeURIComponent(scene.caller.findKey(step.of));
  const address = scene.fleet.findCallersAddress(step.via);
  const url = `${address}/v1/jobs/${key}`;
  const {status, text} = await scene.call({method: 'DELETE', url});
  // The job's answer, which says that it was cancelled, or its progress.
  if (status !== STATUS_CANCELLED && status >= 300) {
    throw new ScenarioError(`Cancelling was answered ${status}: ${text}`);
  }
}

async function changeLink(
  scene: Scene,
  step: StepOf<StepKind.LINK>,
): Promise<void> {
  const address = scene.fleet.findAddress(step.name, Listener.CONTROL);
  await postControl(scene.call, address, createLinkControl(step));
}

async function changeStore(
  scene: Scene,
  step: StepOf<StepKind.STORE>,
): Promise<void> {
  const address = scene.fleet.findAddress(STORE_NAME, Listener.MAIN);
  const revision = scene.observer.findChange(step.revisionOf)?.revision ?? 0;
  if (step.mode === StoreMode.STALE && revision === 0) {
    throw new ScenarioError(`No change is named "${step.revisionOf}".`);
  }
  await postControl(scene.call, address, createStoreControl(step, revision));
}

async function changeTarget(
  scene: Scene,
  step: StepOf<StepKind.TARGET>,
): Promise<void> {
  const address = scene.fleet.findAddress(step.name, Listener.MAIN);
  await postControl(scene.call, address, createTargetControl(step));
  if (step.change === '') return;
  const to = step.mode === TargetMode.NORMAL ? 'back' : 'left';
  markMoment(scene, {change: step.change, subject: step.name, to});
}

function markMoment(
  scene: Scene,
  mark: Pick<MarkStep, 'change' | 'subject' | 'to'>,
): void {
  const acceptedAtMs = scene.clock.readMs();
  scene.observer.setChange({
    name: mark.change,
    subject: mark.subject,
    to: mark.to,
    revision: 0,
    sentAtMs: acceptedAtMs,
    acceptedAtMs,
    inForceAtMs: acceptedAtMs,
  });
}

async function awaitStep(scene: Scene, step: AwaitStep): Promise<void> {
  const text = `${step.condition} ${step.of.join(', ')}`;
  if (step.condition === ConditionKind.ANSWERED) {
    const ends = step.of.map(name => findSubmission(scene, name).end);
    await awaitWithin(
      text,
      step.withinMs,
      Promise.all(ends),
      scene.clock.startTimer,
    );
    return;
  }
  const check = await createConditionCheck(scene, step);
  await awaitCondition(text, step.withinMs, check, scene.clock);
}

function findSubmission(scene: Scene, name: string) {
  const found = scene.submissions.get(name);
  if (found === undefined) {
    throw new ScenarioError(`There is no submission "${name}".`);
  }
  return found;
}
