import {expect} from 'chai';
import fc from 'fast-check';
import {Outcome} from '../../src/lib/core/job.js';
import {ReplyKind} from '../../src/lib/entry/dispatcher_messages.js';
import type {DispatcherReply} from '../../src/lib/entry/dispatcher_messages.js';
import {VirtualFleet} from './virtual_fleet.js';
import {VirtualTime} from './virtual_time.js';

enum StepKind {
  SUBMIT = 'submit',
  CUT = 'cut',
  FREEZE_AGENT = 'freeze-agent',
  FREEZE_ENTRY = 'freeze-entry',
  RESTART_AGENT = 'restart-agent',
  TAKE_OUT_OF_SERVICE = 'take-out',
  RETURN_TO_SERVICE = 'bring-back',
}

interface Step {
  readonly kind: StepKind;
  readonly agent: number;
  /** Time from this step to the next one. */
  readonly afterMs: number;
  readonly durationMs: number;
  readonly tasks: number;
}

const AGENTS = ['agent-0', 'agent-1', 'agent-2', 'agent-3'];
const SEED = Number(process.env.FOXTAILBAY_SEED ?? 20261204);
const RUNS = 60;
/** Equals `permissionFreshMs` of the agents in `virtual_fleet.ts`. */
const PERMISSION_FRESH_MS = 4000;

function findDataCentre(agent: number): string {
  return agent % 2 === 0 ? 'a' : 'b';
}

const STEPS: fc.Arbitrary<Step[]> = fc.array(
  fc.record({
    kind: fc.oneof(
      {weight: 4, arbitrary: fc.constant(StepKind.SUBMIT)},
      {weight: 6, arbitrary: fc.constantFrom(...Object.values(StepKind))},
    ),
    agent: fc.integer({min: 0, max: AGENTS.length - 1}),
    afterMs: fc.integer({min: 0, max: 900}),
    durationMs: fc.integer({min: 10, max: 16_000}),
    tasks: fc.integer({min: 1, max: 8}),
  }),
  {minLength: 8, maxLength: 30},
);

interface Submission {
  readonly payloads: readonly string[];
  reply: DispatcherReply | undefined;
}

interface Trial {
  readonly fleet: VirtualFleet;
  readonly submissions: Submission[];
  /**
   * Periods in which data centre "a" was out of service by a change that agents
   * could receive; they end with the last step.
   */
  readonly outages: Array<{fromMs: number; toMs: number}>;
}

async function runTrial(seed: number, steps: readonly Step[]): Promise<Trial> {
  const time = VirtualTime.create();
  const fleet = VirtualFleet.create(time, createRandom(seed));
  for (const [index, id] of AGENTS.entries()) {
    fleet.startAgent(id, findDataCentre(index));
  }
  await time.advanceTo(time.nowMs + 1000);
  const trial: Trial = {fleet, submissions: [], outages: []};
  for (const step of steps) {
    performStep(trial, step, time);
    await time.advanceTo(time.nowMs + step.afterMs);
  }
  for (const outage of trial.outages) {
    outage.toMs = Math.min(outage.toMs, time.nowMs);
  }
  await time.advanceTo(time.nowMs + 90_000);
  return trial;
}

function performStep(trial: Trial, step: Step, time: VirtualTime): void {
  const {fleet, outages} = trial;
  const id = AGENTS[step.agent];
  switch (step.kind) {
    case StepKind.SUBMIT:
      submit(trial, step.tasks);
      break;
    case StepKind.CUT:
      fleet.cut(id);
      break;
    case StepKind.FREEZE_AGENT:
      fleet.pauseAgent(id, step.durationMs);
      break;
    case StepKind.FREEZE_ENTRY:
      fleet.pauseEntry(step.durationMs);
      break;
    case StepKind.RESTART_AGENT:
      fleet.startAgent(id, findDataCentre(step.agent));
      break;
    case StepKind.TAKE_OUT_OF_SERVICE:
      fleet.setService('a', false);
      if (outages.at(-1)?.toMs !== Infinity) {
        outages.push({fromMs: time.nowMs, toMs: Infinity});
      }
      break;
    case StepKind.RETURN_TO_SERVICE: {
      fleet.setService('a', true);
      const last = outages.at(-1);
      if (last !== undefined) last.toMs = Math.min(last.toMs, time.nowMs);
      break;
    }
  }
}

function submit(trial: Trial, tasks: number): void {
  const number = trial.submissions.length;
  const payloads = Array.from({length: tasks}, (_, i) => `s${number}t${i}`);
  const submission: Submission = {payloads, reply: undefined};
  trial.submissions.push(submission);
  trial.fleet.submit(
    {
      team: 't',
      taskClass: undefined,
      value: undefined,
      deadlineMs: 20_000,
      tasks: payloads.map(payload => ({payload, expectedMs: 200})),
      trace: '',
    },
    undefined,
    reply => (submission.reply = reply),
  );
}

/** Mulberry32, which makes a run repeatable by its seed. */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

function countStarts(trial: Trial): Map<string, number> {
  const counts = new Map<string, number>();
  for (const start of trial.fleet.starts) {
    const payload = JSON.parse(start.payload) as string;
    counts.set(payload, (counts.get(payload) ?? 0) + 1);
  }
  return counts;
}

function checkTrial(trial: Trial): void {
  const counts = countStarts(trial);
  for (const [payload, count] of counts) {
    expect(count, `starts of ${payload}`).to.equal(1);
  }
  for (const submission of trial.submissions) checkAnswer(submission, counts);
  for (const start of trial.fleet.starts) {
    if (start.dataCentre !== 'a') continue;
    const outage = trial.outages.find(
      each =>
        start.atMs > each.fromMs + PERMISSION_FRESH_MS &&
        start.atMs < each.toMs,
    );
    expect(outage, `start in a data centre that is out`).to.equal(undefined);
  }
}

function checkAnswer(
  submission: Submission,
  counts: Map<string, number>,
): void {
  const {payloads, reply} = submission;
  expect(reply, `answer to ${payloads[0]}`).to.not.equal(undefined);
  const started = payloads.filter(payload => counts.has(payload)).length;
  if (reply?.kind === ReplyKind.REFUSAL) {
    if (reply.refusal.isProvenUnstarted) expect(started).to.equal(0);
    return;
  }
  if (reply?.kind !== ReplyKind.ANSWER) throw new RangeError('no answer');
  const {outcome, results} = reply.answer;
  if (outcome === Outcome.DID_NOT_RUN) expect(started).to.equal(0);
  if (outcome !== Outcome.COMPLETE) return;
  expect(started).to.equal(payloads.length);
  const texts = results.map(result =>
    JSON.parse(Buffer.from(result).toString()),
  );
  expect(texts).to.deep.equal(payloads);
}

describe('An entry and its agents under cuts, freezes and restarts', () => {
  it(`start each task at most once and answer accurately (seed ${SEED})`, async function () {
    this.timeout(240_000);
    await fc.assert(
      fc.asyncProperty(fc.integer(), STEPS, async (seed, steps) => {
        checkTrial(await runTrial(seed, steps));
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('start nothing twice after the agents have abandoned an entry', async () => {
    const step = {agent: 0, durationMs: 14_000, tasks: 8};
    const trial = await runTrial(SEED, [
      {...step, kind: StepKind.SUBMIT, afterMs: 30},
      {...step, kind: StepKind.FREEZE_ENTRY, afterMs: 15_000},
    ]);
    checkTrial(trial);
    expect(trial.fleet.starts.length).to.be.greaterThan(0);
  });

  it('start nothing at a resumed agent whose data centre is out of service', async () => {
    const step = {agent: 0, durationMs: 9000, tasks: 8, afterMs: 8};
    const trial = await runTrial(SEED, [
      ...Array.from({length: 12}, () => ({...step, kind: StepKind.SUBMIT})),
      {...step, kind: StepKind.FREEZE_AGENT, afterMs: 0},
      {...step, kind: StepKind.FREEZE_AGENT, agent: 2, afterMs: 1500},
      {...step, kind: StepKind.TAKE_OUT_OF_SERVICE, afterMs: 12_000},
    ]);
    checkTrial(trial);
  });

  it('complete every job if no fault occurs', async () => {
    const submit = {agent: 0, afterMs: 50, durationMs: 10, tasks: 8};
    const steps = Array.from({length: 20}, () => ({
      ...submit,
      kind: StepKind.SUBMIT,
    }));
    const trial = await runTrial(SEED, steps);
    checkTrial(trial);
    const outcomes = trial.submissions.map(each =>
      each.reply?.kind === ReplyKind.ANSWER ? each.reply.answer.outcome : '',
    );
    expect(new Set(outcomes)).to.deep.equal(new Set([Outcome.COMPLETE]));
  });
});
