/** The operators' part of a scenario. */
import {awaitCondition} from './await_condition.js';
import type {StepKind} from './step.js';
import type {HttpReply} from './http_call.js';
import type {StepOf} from './interpret_steps.js';
import {ScenarioError} from './scenario_error.js';
import type {Scene} from './scene.js';

const ACCEPTANCE_TIMEOUT_MS = 10_000;
const FORCE_TIMEOUT_MS = 30_000;

/** Takes a data centre in or out of service and follows the change. */
export async function changeDataCentre(
  scene: Scene,
  step: StepOf<StepKind.DATA_CENTRE>,
): Promise<void> {
  const {administration} = scene;
  const sentAtMs = scene.clock.readMs();
  const reply = await administration
    .setService(step.via, step.name, step.service)
    .catch((failure: unknown) => {
      if (step.mustBeAccepted) throw failure;
      return undefined;
    });
  if (reply === undefined) return scene.writeLine('no reply to the operator');
  scene.writeLine(`the operator is answered ${reply.status}`);
  if (reply.status >= 300) return rejectStep(step.mustBeAccepted, reply);
  await followChange(scene, reply, {
    sentAtMs,
    via: step.via,
    name: step.change,
    subject: step.name,
    to: step.service,
    mustBeAccepted: step.mustBeAccepted,
  });
}

/** Writes a record and follows the change. */
export async function writeRecord(
  scene: Scene,
  step: StepOf<StepKind.RECORD>,
): Promise<void> {
  const {kind, name, spec} = step.record;
  const path = `/v1/records/${kind}/${encodeURIComponent(name)}`;
  const body = {schemaVersion: 1, kind, name, spec};
  const sentAtMs = scene.clock.readMs();
  const call = scene.administration.call(step.via, 'PUT', path, body);
  const reply = await call;
  scene.writeLine(`the operator is answered ${reply.status}`);
  if (!step.statuses.includes(reply.status)) return rejectStep(true, reply);
  if (reply.status >= 300) return;
  await followChange(scene, reply, {
    sentAtMs,
    via: step.via,
    name: step.change,
    subject: `${kind}/${name}`,
    to: 'written',
    mustBeAccepted: true,
  });
}

interface FollowedChange {
  readonly sentAtMs: number;
  readonly via: string;
  readonly name: string;
  readonly subject: string;
  readonly to: string;
  readonly mustBeAccepted: boolean;
}

/** Notes when the change is accepted and, later, when it is in force. */
async function followChange(
  scene: Scene,
  reply: HttpReply,
  followed: FollowedChange,
): Promise<void> {
  const {revision} = JSON.parse(reply.text) as {revision: number};
  const {via, name, subject, to, sentAtMs} = followed;
  const readState = () => scene.administration.readRevision(via, revision);
  if (reply.status === 202) {
    if (!followed.mustBeAccepted) return;
    await awaitCondition(
      `revision ${revision} is accepted`,
      ACCEPTANCE_TIMEOUT_MS,
      async () => (await readState()).isAccepted,
      scene.clock,
    );
  }
  const acceptedAtMs = scene.clock.readMs();
  const change = {name, subject, to, revision, sentAtMs, acceptedAtMs};
  scene.observer.setChange({...change, inForceAtMs: Infinity});
  scene.writeLine(`change ${name} is accepted at revision ${revision}`);
  scene.follow(
    awaitCondition(
      `revision ${revision} is in force everywhere`,
      FORCE_TIMEOUT_MS,
      async () => scene.isEnded || (await readState()).isEverywhere,
      scene.clock,
    ).then(() => {
      if (scene.isEnded) return;
      const inForceAtMs = scene.clock.readMs();
      scene.observer.setChange({...change, inForceAtMs});
      scene.writeLine(`change ${name} is in force everywhere`);
    }),
  );
}

function rejectStep(isFailure: boolean, reply: HttpReply): void {
  if (!isFailure) return;
  throw new ScenarioError(
    `The operator was refused with ${reply.status}: ${reply.text}`,
  );
}
