import {expect} from 'chai';
import {AgentFrameKind, TargetPhase} from '../../src/lib/core/work_frames.js';
import type {
  AgentFrame,
  EntryFrame,
  TargetDescription,
} from '../../src/lib/core/work_frames.js';
import {JobEnd, JobReason} from '../../src/lib/core/work_job.js';
import type {JobAnswer, StepSpec} from '../../src/lib/core/work_job.js';
import {chooseFastest} from '../../src/lib/decisions/place_task.js';
import {NO_OP_FLEET_METRICS} from '../../src/lib/observe/fleet_metrics.js';
import {Scheduler} from '../../src/lib/work/entry/scheduler.js';
import {SchedulerMessageKind} from '../../src/lib/work/entry/scheduler_messages.js';
import type {FrameStream} from '../../src/lib/work/link/frame_stream.js';
import {RULE} from '../interleavings/virtual_callers.js';

const FULL = {cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0};
const SHRUNK = {...FULL, cpuMilli: 6000};
const NEED = {cpuMilli: 6200, memoryMb: 64, accelerators: 0};
const LABELS = ['a', 'r1'];

/** Time in milliseconds after which an entry refuses jobs. */
const WARM_UP_MS = 3000;

const TARGET: TargetDescription = {
  phase: TargetPhase.READY,
  service: RULE.service,
  life: 'target-life',
  labels: LABELS,
  capacity: FULL,
  token: 1,
};

const STREAM: FrameStream<EntryFrame> = {
  send: () => undefined,
  close: () => undefined,
};

// Guards against a job that is answered as failed (LOST) because the capacity of the
// targets is small at the moment, though it fits them before and after.
describe('An entry whose targets shrink', () => {
  let nowMs: number;
  let jobs: number;
  let scheduler: Scheduler;
  let tick: () => void;

  beforeEach(async () => {
    nowMs = 10_000;
    jobs = 0;
    await startEntry();
  });

  afterEach(() => scheduler.stop());

  async function startEntry(): Promise<void> {
    scheduler = Scheduler.create({
      incarnation: 'entry-life',
      address: '10.0.0.1:7720',
      dataCentre: 'zone-a',
      farFactor: 1.5,
      chooseTarget: chooseFastest,
      readMonotonicMs: () => nowMs,
      readSystemMs: () => nowMs,
      startTimer: (_delayMs, fire) => {
        tick = fire;
        return () => undefined;
      },
      log: () => undefined,
      metrics: NO_OP_FLEET_METRICS,
      reportFailure: failure => {
        throw failure;
      },
      reportReady: () => undefined,
      applyConfiguration: () => undefined,
      reportForecasts: () => undefined,
      reportIdle: () => undefined,
    });
    await settle();
  }

  /** Waits until the entry has handled what was posted. */
  async function settle(): Promise<void> {
    for (let turn = 0; turn < 5; turn += 1) {
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  async function receive(...frames: AgentFrame[]): Promise<void> {
    const kind = SchedulerMessageKind.AGENT_FRAMES;
    scheduler.post({kind, stream: STREAM, frames});
    await settle();
  }

  async function connectAgent(target: TargetDescription): Promise<void> {
    await receive({
      kind: AgentFrameKind.HELLO,
      agent: 'agent-1',
      life: 'agent-life',
      dataCentre: 'zone-a',
      held: [],
      ends: [],
      through: 0,
    });
    await report(target);
  }

  async function report(target: TargetDescription): Promise<void> {
    const {capacity: free} = target;
    const load = {through: 0, free, waiting: 0, slowness: 1, isSuspect: false};
    await receive(
      {kind: AgentFrameKind.TARGET, target},
      {kind: AgentFrameKind.REPORT, report: load},
    );
  }

  /** Lets a time pass in which the agent goes on sending. */
  async function wait(durationMs: number, target: TargetDescription) {
    const untilMs = nowMs + durationMs;
    while (nowMs < untilMs) {
      nowMs += 200;
      await report(target);
      tick();
      await settle();
    }
  }

  /** Submits a job; returns its answer if it has one at once. */
  async function submit(
    changes: Partial<StepSpec> = {},
  ): Promise<JobAnswer | undefined> {
    jobs += 1;
    const step: StepSpec = {
      count: 2,
      need: NEED,
      estimateMs: 200,
      after: [],
      requiredLabel: '',
      preferredRack: '',
      perTargetAtMost: 0,
      ...changes,
    };
    let result: JobAnswer | undefined;
    scheduler.post({
      kind: SchedulerMessageKind.SUBMIT,
      request: {
        job: String(jobs).padStart(16, '0'),
        request: 'request',
        queue: RULE.name,
        payload: '',
        steps: [step],
        deadlineMs: 10_000,
      },
      rule: RULE,
      caller: jobs,
      answer: answer => void (result = answer),
    });
    await settle();
    return result;
  }

  function expectRetry(answer: JobAnswer | undefined): void {
    expect(answer).to.include({
      end: JobEnd.REFUSED,
      reason: JobReason.NO_TARGET,
    });
    expect(answer?.retryAfterMs).to.be.above(0);
  }

  it('refuses a job that fits their full capacity, with a time to retry', async () => {
    await connectAgent(TARGET);
    await wait(WARM_UP_MS, TARGET);
    const shrunk = {...TARGET, capacity: SHRUNK};
    await wait(200, shrunk);
    expectRetry(await submit());
  });

  it('admits the jobs that fit now', async () => {
    await connectAgent(TARGET);
    await wait(WARM_UP_MS, TARGET);
    await wait(200, {...TARGET, capacity: SHRUNK});
    const need = {...NEED, cpuMilli: 2000};
    expect(await submit({need})).to.equal(undefined);
    await wait(200, TARGET);
    expect(await submit()).to.equal(undefined);
  });

  it('learns their full capacity from an agent if it starts meanwhile', async () => {
    const kinds = [{service: RULE.service, labels: LABELS, capacity: FULL}];
    const shrunk = {...TARGET, capacity: SHRUNK, kinds};
    await connectAgent(shrunk);
    await wait(WARM_UP_MS, shrunk);
    expectRetry(await submit());
  });

  it('keeps their full capacity if the agent restarts and forgets it', async () => {
    const kinds = [{service: RULE.service, labels: LABELS, capacity: FULL}];
    await connectAgent({...TARGET, kinds});
    await wait(WARM_UP_MS, {...TARGET, kinds});
    const small = {...TARGET, capacity: SHRUNK};
    const known = [{...kinds[0], capacity: SHRUNK}];
    await wait(200, {...small, kinds: known});
    expectRetry(await submit());
  });

  it('fails a job at once that fits no kind of target ever known', async () => {
    await connectAgent(TARGET);
    await wait(WARM_UP_MS, TARGET);
    const need = {...NEED, cpuMilli: 16_001};
    const failed = {end: JobEnd.FAILED, reason: JobReason.TOO_LARGE};
    expect(await submit({need})).to.include(failed);
    expect(await submit({requiredLabel: 'b'})).to.include(failed);
  });

  it('fails no job as too large before it knows a target', async () => {
    nowMs += WARM_UP_MS;
    expectRetry(await submit());
  });
});
