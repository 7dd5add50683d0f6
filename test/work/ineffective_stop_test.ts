import {expect} from 'chai';
import {EntryFrameKind} from '../../src/lib/core/work_frames.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import {CallKind, ENTRY, RunnerFixture} from './runner_fixture.js';

const STEP_MS = 50;

/** Time after a disconnect in which a caller may come again at another entry. */
const CALLER_RETURN_MS = 1300;

const ESTIMATE_MS = 60_000;

// Guards against two runs of one task: an entry drops the job of a caller that has left
// and asks for the stop of its run, the stop calls fail while that entry is still
// in contact, and the caller comes again at another entry.
describe('A work runner whose target goes on with a run that its owner dropped', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    const changes = {estimateMs: ESTIMATE_MS};
    fixture.sendOrder('dropped', ENTRY, 1000, 0, changes);
    await fixture.settle();
    fixture.outcomes[CallKind.STOP] = OrderOutcome.NOT_SENT;
  });

  afterEach(() => fixture.runner.stop());

  it('lets its lease end before the caller may come again', async () => {
    const stoppedAtMs = fixture.nowMs;
    fixture.send({kind: EntryFrameKind.STOP, task: 'dropped', run: 1});
    await fixture.settle();
    expect(fixture.stopped).to.include('dropped');
    while (fixture.nowMs < stoppedAtMs + CALLER_RETURN_MS) {
      fixture.nowMs += STEP_MS;
      fixture.sendPong(fixture.nowMs);
      await fixture.runTimers();
    }
    // The clock of the target shows the local time.
    const deadlines = fixture.holds.map(({deadlineMs}) => deadlineMs);
    const leaseEndMs = Math.max(...deadlines);
    expect(leaseEndMs - stoppedAtMs).to.be.at.most(CALLER_RETURN_MS);
  });
});
