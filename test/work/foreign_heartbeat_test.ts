import {expect} from 'chai';
import {RunEnd, TargetPhase} from '../../src/lib/core/work_frames.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import type {TargetHeartbeat} from '../../src/lib/work/agent/target_api.js';
import {CAPACITY} from './first_heartbeat.js';
import {ENTRY, PEER, RunnerFixture} from './runner_fixture.js';

const FOREIGN: ReadonlyMap<string, Partial<TargetHeartbeat>> = new Map([
  [
    'of an unknown service',
    {id: 'x', incarnation: 'x@9', startMs: 9, service: 'unknown'},
  ],
  ['under another id', {id: 'x', incarnation: 'x@9', startMs: 9}],
  ['with a later start', {incarnation: 't1@9', startMs: 9, sequence: 90}],
  ['with the same start', {id: 'x', incarnation: 'x@1', startMs: 1}],
  [
    'that starts far in the future',
    {incarnation: 't1@z', startMs: 2 ** 53 - 1},
  ],
]);

const HEARTBEAT_PERIOD_MS = 1500;

// Guards against two runs of one task: a heartbeat of another writer is taken for the
// target's next incarnation, and the runs of the present one are reported as lost.
describe('A work runner that receives the heartbeat of another writer', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.sendOrder('a');
    await fixture.settle();
    fixture.nowMs += 1000;
    for (const entry of [ENTRY, PEER]) fixture.sendPong(fixture.nowMs, entry);
  });

  afterEach(() => fixture.runner.stop());

  for (const [name, changes] of FOREIGN) {
    it(`keeps the runs of its target if it comes ${name}`, async () => {
      fixture.sendForeignHeartbeat(changes);
      await fixture.settle();
      expect(fixture.ends).to.deep.equal([]);
      expect(fixture.crashes).to.deep.equal([]);
      fixture.sendOrder('b');
      await fixture.settle();
      expect(fixture.listStarted()).to.deep.equal(['a', 'b']);
    });

    it(`goes on renewing the lease if it comes ${name}`, async () => {
      fixture.sendForeignHeartbeat(changes);
      await fixture.settle();
      fixture.holds.length = 0;
      fixture.nowMs += 200;
      for (const entry of [ENTRY, PEER]) fixture.sendPong(fixture.nowMs, entry);
      await fixture.runTimers();
      const deadlines = fixture.holds.map(({deadlineMs}) => deadlineMs);
      expect(Math.max(...deadlines)).to.be.above(fixture.nowMs);
    });

    it(`goes on listening to its target if it comes ${name}`, async () => {
      fixture.sendForeignHeartbeat(changes);
      await fixture.settle();
      fixture.sendHeartbeat({phase: TargetPhase.DRAINING, sequence: 2});
      await fixture.settle();
      expect(fixture.phases.at(-1)).to.equal(TargetPhase.DRAINING);
    });
  }

  it('keeps the runs while the target does not answer in its name', async () => {
    fixture.outcomes.hold = OrderOutcome.REFUSED;
    fixture.sendForeignHeartbeat({incarnation: 't1@9', startMs: 9});
    await fixture.settle();
    expect(fixture.ends).to.deep.equal([]);
  });

  it('stays fit for a real rebirth after many such heartbeats', async () => {
    for (let writer = 0; writer < 50; writer += 1) {
      const id = `x${writer}`;
      fixture.sendForeignHeartbeat({id, incarnation: id, startMs: 9 + writer});
      await fixture.settle();
    }
    fixture.running = [];
    fixture.startTarget('t2', 5000);
    await fixture.settle();
    expect(fixture.findEnd('a')).to.include({end: RunEnd.LOST});
    fixture.sendOrder('b');
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a', 'b']);
  });

  it('finds a real rebirth among claims that get no answer', async () => {
    fixture.outcomes.hold = OrderOutcome.UNANSWERED;
    for (let writer = 0; writer < 50; writer += 1) {
      const id = `x${writer}`;
      fixture.sendForeignHeartbeat({id, incarnation: id, startMs: 9 + writer});
    }
    fixture.running = [];
    fixture.startTarget('t2', 5000);
    await fixture.settle();
    expect(fixture.findEnd('a')).to.equal(undefined);
    fixture.outcomes.hold = OrderOutcome.ACCEPTED;
    fixture.nowMs += 200;
    await fixture.runTimers();
    expect(fixture.findEnd('a')).to.include({end: RunEnd.LOST});
  });
});

// Guards against a target without work, or with another figure, for the rest of its life:
// a heartbeat of another writer in its name has a sequence that it never reaches.
describe('A work runner that receives a heartbeat in the name of its target', () => {
  const AHEAD = 2 ** 40;
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create(false);
    fixture.sendHeartbeat({clockMs: fixture.nowMs - 1});
    await fixture.settle();
  });

  afterEach(() => fixture.runner.stop());

  async function expectHeard(): Promise<void> {
    fixture.nowMs += HEARTBEAT_PERIOD_MS;
    for (const entry of [ENTRY, PEER]) fixture.sendPong(fixture.nowMs, entry);
    fixture.sendHeartbeat({clockMs: fixture.nowMs - 1, sequence: 2});
    fixture.sendOrder('a');
    await fixture.settle();
    expect(fixture.phases.at(-1)).to.equal(TargetPhase.READY);
    expect(fixture.capacity).to.equal(CAPACITY.cpuMilli);
    expect(fixture.listStarted()).to.deep.equal(['a']);
  }

  for (const [name, clockMs] of [
    ['a clock far ahead', AHEAD],
    ['the clock of the target', 10_000],
    ['no clock', undefined],
  ] as const) {
    it(`follows its target again if it has ${name}`, async () => {
      fixture.sendForeignHeartbeat({
        phase: TargetPhase.DRAINING,
        capacity: {...CAPACITY, cpuMilli: 1},
        sequence: AHEAD,
        clockMs,
      });
      await fixture.settle();
      await expectHeard();
    });
  }

  it('ignores a heartbeat without a clock if its target sends one', async () => {
    fixture.sendForeignHeartbeat({phase: TargetPhase.DRAINING, sequence: 9});
    await fixture.settle();
    expect(fixture.phases).not.to.include(TargetPhase.DRAINING);
  });

  for (const change of [{service: 'unknown'}, {dataCentre: 'zone-z'}]) {
    it(`ignores a heartbeat with another ${Object.keys(change)[0]}`, async () => {
      const clockMs = fixture.nowMs;
      fixture.sendForeignHeartbeat({...change, clockMs, sequence: 9});
      fixture.sendOrder('a');
      await fixture.settle();
      expect(fixture.listStarted()).to.deep.equal(['a']);
    });
  }
});

// Guards against an agent that renews nothing and starts nothing after its first
// heartbeat has come from another writer.
describe('A work runner that has heard another writer first', () => {
  it('uses its target once that is heard', async () => {
    const fixture = await RunnerFixture.create(false);
    fixture.sendForeignHeartbeat({id: 'x', incarnation: 'x@9', startMs: 9});
    await fixture.settle();
    expect(fixture.phases).not.to.include(TargetPhase.READY);
    fixture.sendHeartbeat();
    await fixture.settle();
    fixture.sendOrder('a');
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
    await fixture.runner.stop();
  });

  it('uses its target in the end if the writer has used its name', async () => {
    const fixture = await RunnerFixture.create(false);
    const clockMs = 2 ** 40;
    fixture.sendForeignHeartbeat({service: 'x', sequence: clockMs, clockMs});
    await fixture.settle();
    for (let sequence = 1; sequence <= 3; sequence += 1) {
      fixture.nowMs += HEARTBEAT_PERIOD_MS;
      fixture.sendHeartbeat({sequence, clockMs: fixture.nowMs - 1});
      await fixture.settle();
    }
    fixture.sendPong(fixture.nowMs);
    fixture.sendOrder('a');
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
    await fixture.runner.stop();
  });
});
