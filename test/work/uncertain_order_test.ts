import {expect} from 'chai';
import {RunEnd, TargetPhase} from '../../src/lib/core/work_frames.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import {RUN_EXPIRY_MS} from '../../src/lib/work/entry/run_expiry.js';
import {PEER, RunnerFixture} from './runner_fixture.js';

// Guards against two runs of one task: a target that refuses a stop has done
// nothing, and carries out the unanswered start after the task runs elsewhere.
describe('A work runner whose target refuses a stop', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.outcomes.start = OrderOutcome.UNANSWERED;
    fixture.outcomes.stop = OrderOutcome.REFUSED;
    fixture.running = [];
    fixture.sendOrder('a');
    await fixture.settle();
  });

  afterEach(() => fixture.runner.stop());

  async function runChecks(): Promise<void> {
    for (let check = 0; check < 5; check += 1) {
      fixture.nowMs += 50;
      await fixture.runTimers();
    }
  }

  it('does not take the run for over', async () => {
    await runChecks();
    expect(fixture.findEnd('a')).to.equal(undefined);
  });

  it('repeats the stop until the target carries it out', async () => {
    await runChecks();
    fixture.outcomes.stop = OrderOutcome.ACCEPTED;
    await runChecks();
    expect(fixture.findEnd('a')).to.include({end: RunEnd.STOPPED});
  });

  it('takes the run for over if the target has ended a later one', async () => {
    fixture.reason = 'old';
    await runChecks();
    expect(fixture.findEnd('a')).to.include({end: RunEnd.STOPPED});
  });
});

// Guards against two runs of one task: an order to an earlier incarnation of the
// target, or of an earlier agent, is carried out after the first empty run list.
describe('A work runner whose target is born again under the same id', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.nowMs += 1000;
    fixture.sendPong(fixture.nowMs);
    fixture.running = [];
  });

  afterEach(() => fixture.runner.stop());

  function findLastToken(): number {
    return fixture.holds.at(-1)!.fencingToken;
  }

  it('uses a higher token though the clock of the target is lower', async () => {
    const earlierToken = findLastToken();
    fixture.targetOffsetMs = 10 - fixture.nowMs;
    fixture.startTarget('t1', 5000);
    await fixture.settle();
    expect(findLastToken()).to.be.above(earlierToken);
  });

  it('accepts orders only once the target has answered a call with its token', async () => {
    fixture.phases.length = 0;
    fixture.outcomes.hold = OrderOutcome.REFUSED;
    fixture.startTarget('t1', 5000);
    await fixture.settle();
    expect(fixture.phases).not.to.include(TargetPhase.READY);
    fixture.holds.length = 0;
    fixture.outcomes.hold = OrderOutcome.ACCEPTED;
    fixture.nowMs += 200;
    await fixture.runTimers();
    await fixture.settle();
    expect(fixture.holds.some(({fencingToken}) => fencingToken > 0)).to.equal(
      true,
    );
    expect(fixture.phases).to.include(TargetPhase.READY);
  });

  it('takes an unanswered order for lost only then', async () => {
    fixture.outcomes.start = OrderOutcome.UNANSWERED;
    fixture.outcomes.stop = OrderOutcome.BROKEN;
    fixture.sendOrder('a');
    await fixture.settle();
    fixture.outcomes.hold = OrderOutcome.UNANSWERED;
    fixture.startTarget('t1', 5000);
    await fixture.settle();
    expect(fixture.findEnd('a')).to.equal(undefined);
    fixture.outcomes.hold = OrderOutcome.ACCEPTED;
    fixture.nowMs += 200;
    await fixture.runTimers();
    await fixture.runTimers();
    expect(fixture.findEnd('a')).to.include({end: RunEnd.LOST});
  });

  it('takes an unanswered order for lost if the target has another id', async () => {
    fixture.outcomes.start = OrderOutcome.UNANSWERED;
    fixture.outcomes.stop = OrderOutcome.BROKEN;
    fixture.sendOrder('a');
    await fixture.settle();
    fixture.startTarget('t2', 5000);
    await fixture.settle();
    expect(fixture.findEnd('a')).to.include({end: RunEnd.LOST});
  });

  it('finds a token above that of an incarnation whose time of day was ahead', async () => {
    const tokens = new Set<number>();
    fixture.reason = 'fence';
    fixture.outcomes.hold = OrderOutcome.REFUSED;
    fixture.startTarget('t1', 5000);
    await fixture.settle();
    const firstToken = findLastToken();
    const calls = fixture.holds.length;
    for (let check = 0; check < 40; check += 1) {
      fixture.nowMs += 150;
      await fixture.runTimers();
      tokens.add(findLastToken());
    }
    expect(fixture.holds.length - calls).to.be.below(100);
    expect(Math.max(...tokens)).to.be.above(firstToken + 60_000);
  });

  it('raises its token by little each time that the lease has ended', async () => {
    for (let freeze = 0; freeze < 60; freeze += 1) {
      fixture.sendPong(fixture.nowMs);
      fixture.sendOrder(`task-${freeze}`);
      await fixture.settle();
      fixture.nowMs += 2000;
      await fixture.runTimers();
      await fixture.runTimers();
    }
    const clockToken = 1 + fixture.nowMs;
    expect(findLastToken()).to.be.at.most(clockToken + 60);
  });

  it('tells an answer of the next incarnation by its clock', async () => {
    fixture.targetOffsetMs = 10 - fixture.nowMs;
    fixture.outcomes.hold = OrderOutcome.UNANSWERED;
    fixture.sendOrder('a');
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
    fixture.startTarget('t1', 5000);
    await fixture.settle();
    expect(fixture.findEnd('a')).to.equal(undefined);
  });
});

// Guards against two runs of one task: a call that got no answer is carried out
// seconds later, and renews the lease of runs that count as over.
describe('A work runner whose call gets no answer', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.sendOrder('a');
    await fixture.settle();
  });

  afterEach(() => fixture.runner.stop());

  async function renew(): Promise<number> {
    fixture.holds.length = 0;
    fixture.nowMs += 160;
    fixture.sendPong(fixture.nowMs);
    await fixture.runTimers();
    return fixture.holds[0].fencingToken;
  }

  it('raises its token, which fences off that call', async () => {
    const token = await renew();
    fixture.outcomes.hold = OrderOutcome.UNANSWERED;
    await renew();
    fixture.outcomes.hold = OrderOutcome.ACCEPTED;
    expect(await renew()).to.be.above(token);
  });

  it('keeps its token while its calls are answered', async () => {
    expect(await renew()).to.equal(await renew());
  });
});

// Guards against two runs of one task: an entry takes its runs for over by the end
// of their lease, which the agent goes on renewing for the runs of other entries.
describe('A work runner that cannot stop a run whose entry is out of reach', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.sendOrder('a');
    await fixture.settle();
    fixture.outcomes.stop = OrderOutcome.BROKEN;
  });

  afterEach(() => fixture.runner.stop());

  async function advanceTime(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      fixture.nowMs += 50;
      fixture.sendPong(fixture.nowMs, PEER);
      await fixture.runTimers();
    }
  }

  /** Returns the latest end of the lease that was asked for, on the runner's clock. */
  function findLeaseEndMs(): number {
    return Math.max(...fixture.holds.map(({deadlineMs}) => deadlineMs));
  }

  it('lets the lease end before the entry counts on it', async () => {
    const lastContactMs = fixture.nowMs;
    await advanceTime(3000);
    expect(fixture.stopped).to.include('a');
    expect(findLeaseEndMs()).to.be.below(lastContactMs + RUN_EXPIRY_MS);
  });

  it('starts nothing that would extend the lease', async () => {
    await advanceTime(1000);
    fixture.sendOrder('b', PEER);
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
  });

  it('renews the lease again once the run has been stopped', async () => {
    await advanceTime(1000);
    fixture.outcomes.stop = OrderOutcome.ACCEPTED;
    fixture.running = [];
    await advanceTime(1000);
    fixture.sendOrder('b', PEER);
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a', 'b']);
  });
});
