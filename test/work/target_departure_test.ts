import {expect} from 'chai';
import {RunEnd, TargetPhase} from '../../src/lib/core/work_frames.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import {PEER, RunnerFixture} from './runner_fixture.js';

// Guards against two runs of one task: a deregistration of an earlier incarnation or of
// another writer, or one that its target outlives, counts as the end of the runs.
describe('A work runner whose target has left', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.startTarget('t1', 5000);
    await fixture.settle();
    fixture.sendOrder('a');
    await fixture.settle();
  });

  afterEach(() => fixture.runner.stop());

  it('ignores the deregistration of an earlier incarnation', async () => {
    fixture.reportDeregistration('t1', 1);
    await fixture.settle();
    expect(fixture.findEnd('a')).to.equal(undefined);
  });

  for (const startMs of [5000, undefined]) {
    it(`takes the runs for lost once it refuses calls, if ${startMs} is the start it names`, async () => {
      fixture.setOutcome(OrderOutcome.NOT_LISTENING);
      fixture.reportDeregistration('t1', startMs);
      await fixture.settle();
      expect(fixture.findEnd('a')).to.include({end: RunEnd.LOST});
      expect(fixture.crashes).to.deep.equal([]);
    });

    it(`keeps the runs while it answers, if ${startMs} is the start it names`, async () => {
      fixture.reportDeregistration('t1', startMs);
      await fixture.settle();
      expect(fixture.findEnd('a')).to.equal(undefined);
    });
  }

  it('starts nothing more there', async () => {
    fixture.sendOrder('waiting', PEER, 1500);
    fixture.reportDeregistration('t1', 5000);
    fixture.sendOrder('b');
    await fixture.settle();
    expect(fixture.phases.at(-1)).to.equal(TargetPhase.DRAINING);
    expect(fixture.listStarted()).to.deep.equal(['a']);
    for (const task of ['waiting', 'b']) {
      expect(fixture.findEnd(task)).to.include({end: RunEnd.NOT_STARTED});
    }
  });

  it('uses it again, and reports its crash, if it has not left after all', async () => {
    fixture.reportDeregistration('t1', 5000);
    const incarnation = 't1@5000';
    fixture.sendHeartbeat({incarnation, startMs: 5000, sequence: 2});
    fixture.sendOrder('b');
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a', 'b']);
    fixture.startTarget('t1', 6000);
    await fixture.settle();
    // One frame for each of the two linked entries.
    expect(fixture.crashes).to.have.lengthOf(2);
  });
});
