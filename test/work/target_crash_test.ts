import {expect} from 'chai';
import {
  RunEnd,
  RunEndCause,
  TargetPhase,
} from '../../src/lib/core/work_frames.js';
import {ENTRY, PEER, RunnerFixture} from './runner_fixture.js';

const SUSPICION = {crashes: 1, blame: 0.4};
const RETENTION_MS = 30_000;
const ISOLATION_MS = 250;

// Guards against a deadly task that goes on because no entry is told under which
// tasks a target crashed, above all the entry that its caller comes to next.
describe('A work runner whose target crashes', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.sendOrder('a', ENTRY, 500, 5000, {suspicion: SUSPICION});
    await fixture.settle();
    fixture.nowMs += 10;
  });

  afterEach(() => fixture.runner.stop());

  function replaceTarget(): void {
    fixture.sendHeartbeat({incarnation: 't1-life-2', startMs: 2});
  }

  it('tells the linked entries what ran there, for how long', async () => {
    replaceTarget();
    await fixture.settle();
    // One frame for each of the two linked entries.
    expect(fixture.crashes).to.have.lengthOf(2);
    expect(fixture.crashes[0]).to.deep.equal({
      life: 't1-life',
      ageMs: 0,
      runs: [
        {task: 'a', job: 'a', ranMs: 10, evidence: 'ran', suspicion: SUSPICION},
      ],
    });
    expect(fixture.findEnd('a')).to.include({end: RunEnd.LOST});
  });

  it('tells an entry that links later, with the age', async () => {
    replaceTarget();
    await fixture.settle();
    fixture.nowMs += 100;
    fixture.openLink('entry-3', 3, fixture.nowMs);
    await fixture.settle();
    expect(fixture.greeted).to.have.lengthOf(1);
    expect(fixture.greeted[0]).to.include({life: 't1-life', ageMs: 100});
  });

  it('forgets a crash after the retention time', async () => {
    replaceTarget();
    await fixture.settle();
    fixture.nowMs += RETENTION_MS;
    fixture.openLink('entry-3', 3, fixture.nowMs);
    await fixture.settle();
    expect(fixture.greeted).to.deep.equal([]);
  });

  it('reports no crash of a target that had begun to drain or has left', async () => {
    fixture.sendHeartbeat({phase: TargetPhase.DRAINING, sequence: 2});
    fixture.reportDeregistration('t1', undefined);
    replaceTarget();
    await fixture.settle();
    expect(fixture.crashes).to.deep.equal([]);
  });

  it('reports no crash of a target on which nothing ran', async () => {
    replaceTarget();
    await fixture.settle();
    const before = fixture.crashes.length;
    fixture.sendHeartbeat({incarnation: 't1-life-3', startMs: 3});
    await fixture.settle();
    expect(fixture.crashes).to.have.lengthOf(before);
  });
});

// Guards against two tasks that share the blame for each crash for ever, because
// both are always repeated on the same target.
describe('A work runner with a suspect task', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.sendOrder('early', ENTRY, 500);
    await fixture.settle();
    fixture.sendOrder('suspect', ENTRY, 500, 5000, {suspicion: SUSPICION});
    await fixture.settle();
  });

  afterEach(() => fixture.runner.stop());

  it('starts no other run beside it', async () => {
    fixture.sendOrder('later', PEER, 500, 0);
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['early', 'suspect']);
    expect(fixture.findEnd('later')).to.include({
      end: RunEnd.NOT_STARTED,
      cause: RunEndCause.NO_CAPACITY,
    });
  });

  it('starts others once the suspect has run for a while', async () => {
    fixture.nowMs += ISOLATION_MS;
    fixture.sendPong(fixture.nowMs);
    fixture.sendPong(fixture.nowMs, PEER);
    fixture.sendOrder('later', PEER, 500);
    await fixture.settle();
    expect(fixture.listStarted()).to.include('later');
  });
});
