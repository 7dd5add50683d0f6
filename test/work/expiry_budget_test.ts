import {expect} from 'chai';
import {RUN_EXPIRY_MS} from '../../src/lib/work/entry/run_expiry.js';
import {LEASE_MS} from '../../src/lib/work/agent/target_client.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import {CallKind, ENTRY, PEER, RunnerFixture} from './runner_fixture.js';

const STEP_MS = 10;

/** Period of the checks of a busy agent. */
const CHECK_PERIOD_MS = 50;

/** Share by which the clock of a target may run slow; it ends its runs with the lease. */
const TARGET_CLOCK_DRIFT = 0.02;

const SMALL_CPU_MILLI = 10;

/** So long that no run is taken for hung. */
const ESTIMATE_MS = 100 * RUN_EXPIRY_MS;

// Guards against two runs of one task: the stop calls for a run without an owner fail
// while others reach the target, an order of another entry extends the lease at the last
// moment at which it may, and the owner takes the run for over before that lease ends.
describe('A lease that is extended after the owner of a run was lost', () => {
  let fixture: RunnerFixture;
  let lastContactMs: number;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    lastContactMs = fixture.nowMs;
    const changes = {estimateMs: ESTIMATE_MS};
    fixture.sendOrder('orphan', ENTRY, 1000, 0, changes);
    await fixture.settle();
    fixture.outcomes[CallKind.STOP] = OrderOutcome.NOT_SENT;
  });

  afterEach(() => fixture.runner.stop());

  it('has ended when the owner takes the run for over', async () => {
    let sinceCheckMs = 0;
    let count = 0;
    while (fixture.nowMs < lastContactMs + RUN_EXPIRY_MS) {
      fixture.nowMs += STEP_MS;
      sinceCheckMs += STEP_MS;
      count += 1;
      fixture.sendPong(fixture.nowMs, PEER);
      const isLost = fixture.stopped.includes('orphan');
      const changes = {estimateMs: ESTIMATE_MS};
      if (isLost) {
        fixture.sendOrder(`later-${count}`, PEER, SMALL_CPU_MILLI, 0, changes);
      }
      await fixture.settle();
      if (sinceCheckMs < CHECK_PERIOD_MS) continue;
      sinceCheckMs = 0;
      await fixture.runTimers();
    }
    expect(fixture.stopped).to.include('orphan');
    const calls = [...fixture.starts, ...fixture.holds];
    // The clock of the target shows the local time; a slow one ends the lease later.
    const leaseEndMs = Math.max(...calls.map(({deadlineMs}) => deadlineMs));
    const extendedAtMs = leaseEndMs - LEASE_MS;
    const isOverAtMs = extendedAtMs + LEASE_MS / (1 - TARGET_CLOCK_DRIFT);
    expect(isOverAtMs - lastContactMs).to.be.at.most(RUN_EXPIRY_MS);
  });
});
