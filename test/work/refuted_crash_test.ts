import {expect} from 'chai';
import {CrashBlame} from '../../src/lib/decisions/crash_blame.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import {CallKind, RunnerFixture} from './runner_fixture.js';

/** Time in milliseconds after which a run list is requested again. */
const RENEW_PERIOD_MS = 150;

/** Time in milliseconds from a start order to the refusals, or to the crash. */
const FAULT_AFTER_MS = 10;

/** Number of renewals after which the target is in use again. */
const RENEWALS = 8;

// Guards against a deadly task that goes on (BUDGET): a target that refuses two
// connections and then answers is reported as crashed, so the entries know its life
// as that of a crash, and ignore its later crash under another task.
describe('The crash of a target that was taken for crashed before', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    // The next check requests the run lists.
    fixture.nowMs += RENEW_PERIOD_MS;
    fixture.sendOrder('early');
    await fixture.settle();
    fixture.nowMs += FAULT_AFTER_MS;
  });

  afterEach(() => fixture.runner.stop());

  async function refuseConnections(): Promise<void> {
    fixture.outcomes[CallKind.HOLD] = OrderOutcome.NOT_LISTENING;
    await fixture.runTimers();
    fixture.outcomes[CallKind.HOLD] = OrderOutcome.ACCEPTED;
  }

  /** Lets the same incarnation answer, without the early task. */
  async function resumeUse(): Promise<void> {
    fixture.running = [];
    for (let renewal = 1; renewal <= RENEWALS; renewal += 1) {
      fixture.nowMs += RENEW_PERIOD_MS;
      fixture.sendPong(fixture.nowMs);
      fixture.sendHeartbeat({sequence: 1 + renewal});
      await fixture.runTimers();
    }
  }

  async function loseTargetUnder(task: string): Promise<void> {
    fixture.running = [task];
    fixture.sendOrder(task);
    await fixture.settle();
    expect(fixture.listStarted()).to.include(task);
    fixture.nowMs += FAULT_AFTER_MS;
    fixture.sendHeartbeat({incarnation: 't1-life-2', startMs: 2});
    await fixture.settle();
  }

  /** Counts the crashes under a task that an entry records from the reports. */
  function countCrashes(task: string): number {
    const blame = CrashBlame.create();
    for (const crash of fixture.crashes) blame.recordCrash(crash, 0);
    return blame.findReport(task)?.counted.length ?? 0;
  }

  it('counts against the task that ran there, though the target had refused two connections', async () => {
    await refuseConnections();
    await resumeUse();
    await loseTargetUnder('deadly');
    expect(countCrashes('deadly')).to.equal(1);
  });

  it('counts against the task that ran there, if the target had refused none', async () => {
    await resumeUse();
    await loseTargetUnder('deadly');
    expect(countCrashes('deadly')).to.equal(1);
  });
});
