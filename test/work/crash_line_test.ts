import {expect} from 'chai';
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import {TargetPhase} from '../../src/lib/core/work_frames.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import type {EntryLine} from './entry_fleet_fixture.js';
import {CallKind, ENTRY, RunnerFixture} from './runner_fixture.js';

const LISTED_RUNS = 12;

// Guards against a job shown as failed of which no log tells whether the target had
// accepted the order under which it crashed.
describe('The line of an agent whose target crashes', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
  });

  afterEach(() => fixture.runner.stop());

  function listLines(): Array<EntryLine['fields']> {
    return fixture.lines
      .filter(({event}) => event === FleetEvent.CRASH_RECORDED)
      .map(({fields}) => fields);
  }

  async function replaceTarget(): Promise<void> {
    fixture.sendHeartbeat({incarnation: 't1-life-2', startMs: 2});
    await fixture.settle();
  }

  it('tells an accepted run from an order without an answer', async () => {
    const suspicion = {crashes: 1, blame: 0.4};
    fixture.sendOrder('accepted', ENTRY, 100);
    await fixture.settle();
    fixture.nowMs += 30;
    fixture.running = [];
    fixture.isStartAnswered = false;
    fixture.sendOrder('sent', ENTRY, 100, 5000, {suspicion});
    await fixture.settle();
    fixture.nowMs += 10;
    await replaceTarget();
    const [line, ...others] = listLines();
    expect(others).to.deep.equal([]);
    expect(line).to.deep.include({
      targetLife: 't1-life',
      proof: 'later-life',
      queued: 0,
      sent: 2,
      runs: [
        {
          task: 'sent',
          run: 1,
          state: 'starting',
          sentAgoMs: 10,
          acceptedAgoMs: -1,
          toldCrashes: 1,
        },
        {
          task: 'accepted',
          run: 1,
          state: 'running',
          sentAgoMs: 40,
          acceptedAgoMs: 40,
          toldCrashes: 0,
        },
      ],
    });
  });

  it('names the answer that proves it, and tells of the lease', async () => {
    fixture.sendOrder('a');
    await fixture.settle();
    const listedAtMs = fixture.nowMs;
    fixture.nowMs += 40;
    fixture.outcomes[CallKind.START] = OrderOutcome.OTHER_INCARNATION;
    fixture.sendOrder('b', ENTRY, 100);
    await fixture.settle();
    const [line] = listLines();
    expect(line).to.include({
      proof: OrderOutcome.OTHER_INCARNATION,
      listedAgoMs: fixture.nowMs - listedAtMs,
    });
    expect(line.leaseLeftMs).to.be.within(1, 2000);
  });

  it('lists the newest runs only', async () => {
    fixture.isStartAnswered = false;
    fixture.running = [];
    for (let at = 0; at <= LISTED_RUNS; at += 1) {
      fixture.sendOrder(`task-${at}`, ENTRY, 1);
      await fixture.settle();
      fixture.nowMs += 1;
    }
    await replaceTarget();
    const [line] = listLines();
    const runs = line.runs as ReadonlyArray<{task: string}>;
    expect(line.sent).to.equal(LISTED_RUNS + 1);
    expect(runs).to.have.lengthOf(LISTED_RUNS);
    expect(runs[0].task).to.equal(`task-${LISTED_RUNS}`);
  });

  it('is not written for a target that had begun to drain', async () => {
    fixture.sendOrder('a');
    fixture.sendHeartbeat({phase: TargetPhase.DRAINING, sequence: 2});
    await fixture.settle();
    await replaceTarget();
    expect(listLines()).to.deep.equal([]);
  });
});
