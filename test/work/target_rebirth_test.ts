import {expect} from 'chai';
import {RunEnd} from '../../src/lib/core/work_frames.js';
import {CAPACITY} from './first_heartbeat.js';
import {ENTRY, PEER, RunnerFixture} from './runner_fixture.js';

const SMALL = {...CAPACITY, cpuMilli: 1000};

// Guards against a target that is not believed to have started again, so that its runs
// count on and it gets no work, or the wrong amount.
describe('A work runner whose target starts again', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create(false);
    fixture.startTarget('t1', 5000, {clockMs: fixture.nowMs - 1, sequence: 9});
    await fixture.settle();
    fixture.sendOrder('a');
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
    fixture.nowMs += 200;
    for (const entry of [ENTRY, PEER]) fixture.sendPong(fixture.nowMs, entry);
    // It holds nothing of before, and its clock starts anew.
    fixture.running = [];
    fixture.targetOffsetMs = 100 - fixture.nowMs;
  });

  afterEach(() => fixture.runner.stop());

  async function expectBelieved(): Promise<void> {
    await fixture.settle();
    expect(fixture.findEnd('a')).to.include({end: RunEnd.LOST});
    expect(fixture.capacity).to.equal(SMALL.cpuMilli);
    fixture.sendOrder('b');
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a', 'b']);
  }

  for (const [name, id, startMs] of [
    ['under the same id', 't1', 6000],
    ['under another id', 't2', 6000],
    ['with an earlier start, after its clock was set back', 't1', 4000],
    ['under another id with the same start', 't2', 5000],
  ] as const) {
    it(`believes it at its first heartbeat ${name}`, async () => {
      fixture.startTarget(id, startMs, {clockMs: 90, capacity: SMALL});
      await expectBelieved();
    });
  }

  it('tells a life with the same id and start by its clock', async () => {
    await fixture.runTimers();
    expect(fixture.findEnd('a')).to.include({end: RunEnd.LOST});
    fixture.startTarget('t1', 5000, {clockMs: 90, capacity: SMALL});
    await expectBelieved();
  });
});
