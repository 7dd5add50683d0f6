/** Steps that an operator takes through the administration API. */
import {awaitCondition} from './await_condition.js';
import type {StepKind} from './step.js';
import type {HttpReply} from './http_call.js';
import type {StepOf} from './interpret_steps.js';
import {ScenarioError} from './scenario_error.js';
import type {ScenarioContext} from './scenario_context.js';

const ACCEPTANCE_TIMEOUT_MS = 10_000;
const IN_FORCE_TIMEOUT_MS = 30_000;

/** Takes a data centre out of service or back in, and follows the change. */
export async function changeDataCentre(
  context: ScenarioContext,
  step: StepOf<StepKind.DATA_CENTRE>,
): Promise<void> {
  const {administration} = context;
  const sentAtMs = context.clock.readMs();
  const reply = await administration
    .setService(step.via, step.name, step.service)
    .catch((failure: unknown) => {
      if (step.mustBeAccepted) throw failure;
      return undefined;
    });
  if (reply === undefined) {
    return context.writeLine('the administration API did not reply');
  }
  context.writeLine(
    `the administration API replied with status ${reply.status}`,
  );
  if (reply.status >= 300) return rejectStep(step.mustBeAccepted, reply);
  await followChange(context, reply, {
    sentAtMs,
    via: step.via,
    name: step.change,
    subject: step.name,
    to: step.service,
    mustBeAccepted: step.mustBeAccepted,
  });
}

/** Writes a record through the administration API and follows the change. */
export async function writeRecord(
  context: ScenarioContext,
  step: StepOf<StepKind.RECORD>,
): Promise<void> {
  const {kind, name, spec} = step.record;
  const path = `/v1/records/${kind}/${encodeURIComponent(name)}`;
  const body = {schemaVersion: 1, kind, name, spec};
  const sentAtMs = context.clock.readMs();
  const call = context.administration.call(step.via, 'PUT', path, body);
  const reply = await call;
  context.writeLine(
    `the administration API replied with status ${reply.status}`,
  );
  if (!step.statuses.includes(reply.status)) return rejectStep(true, reply);
  if (reply.status >= 300) return;
  await followChange(context, reply, {
    sentAtMs,
    via: step.via,
    name: step.change,
    subject: `${kind}/${name}`,
    to: 'written',
    mustBeAccepted: true,
  });
}

interface SubmittedChange {
  readonly sentAtMs: number;
  readonly via: string;
  readonly name: string;
  readonly subject: string;
  readonly to: string;
  readonly mustBeAccepted: boolean;
}

/** Records when the change is accepted and, in the background, when it is in force. */
async function followChange(
  context: ScenarioContext,
  reply: HttpReply,
  submitted: SubmittedChange,
): Promise<void> {
  const {revision} = JSON.parse(reply.text) as {revision: number};
  const {via, name, subject, to, sentAtMs} = submitted;
  const readState = () => context.administration.readRevision(via, revision);
  if (reply.status === 202) {
    if (!submitted.mustBeAccepted) return;
    await awaitCondition(
      `revision ${revision} is accepted`,
      ACCEPTANCE_TIMEOUT_MS,
      async () => (await readState()).isAccepted,
      context.clock,
    );
  }
  const acceptedAtMs = context.clock.readMs();
  const change = {name, subject, to, revision, sentAtMs, acceptedAtMs};
  context.evidence.setChange({...change, inForceAtMs: Infinity});
  context.writeLine(`change ${name} is accepted at revision ${revision}`);
  context.runInBackground(
    awaitCondition(
      `revision ${revision} is in force everywhere`,
      IN_FORCE_TIMEOUT_MS,
      async () => context.isEnded || (await readState()).isEverywhere,
      context.clock,
    ).then(() => {
      if (context.isEnded) return;
      const inForceAtMs = context.clock.readMs();
      context.evidence.setChange({...change, inForceAtMs});
      context.writeLine(`change ${name} is in force everywhere`);
    }),
  );
}

function rejectStep(isFailure: boolean, reply: HttpReply): void {
  if (!isFailure) return;
  throw new ScenarioError(
    `The administration API rejected the change with status ${reply.status}: ${reply.text}`,
  );
}
