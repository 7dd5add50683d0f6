import {expect} from 'chai';
import {OWNER_CONTACT_TIMEOUT_MS} from '../../src/lib/decisions/owner_contact.js';
import {RUN_EXPIRY_MS} from '../../src/lib/work/entry/run_expiry.js';
import {ENTRY, RunnerFixture} from './runner_fixture.js';

const STEP_MS = 50;
const REOPEN_PERIOD_MS = 500;

/** Time in which a run without contact must be asked to stop. */
const STOP_WITHIN_MS = OWNER_CONTACT_TIMEOUT_MS + 2 * STEP_MS;

// Guards against two runs of one task: the entry greets each link, but receives nothing
// on it, and takes the runs of the agent for over after the run expiry.
describe('A work runner whose link opens again and again without an answer', () => {
  let fixture: RunnerFixture;
  let linkId: number;
  let sinceReopenedMs: number;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    // So long a run is not taken for hung.
    const estimateMs = 100 * RUN_EXPIRY_MS;
    fixture.sendOrder('a', ENTRY, 1000, 0, {estimateMs});
    await fixture.settle();
    linkId = 3;
    sinceReopenedMs = 0;
  });

  afterEach(() => fixture.runner.stop());

  async function wait(durationMs: number, isAnswered: boolean): Promise<void> {
    const untilMs = fixture.nowMs + durationMs;
    while (fixture.nowMs < untilMs) {
      fixture.nowMs += STEP_MS;
      sinceReopenedMs += STEP_MS;
      if (sinceReopenedMs >= REOPEN_PERIOD_MS) {
        sinceReopenedMs = 0;
        fixture.closeLink(ENTRY, linkId);
        linkId += 1;
        fixture.openLink(ENTRY, linkId, fixture.nowMs);
        if (isAnswered) fixture.sendPong(fixture.nowMs);
      }
      await fixture.runTimers();
    }
  }

  it('stops the runs of that entry in time', async () => {
    await wait(STOP_WITHIN_MS, false);
    expect(fixture.stopped).to.include('a');
  });

  it('keeps them while the entry answers on each link', async () => {
    await wait(2 * RUN_EXPIRY_MS, true);
    expect(fixture.stopped).to.deep.equal([]);
  });

  it('starts no order of an entry that has never answered', async () => {
    fixture.openLink('other-life', 9, fixture.nowMs);
    fixture.sendOrder('b', 'other-life');
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
  });
});
