import {expect} from 'chai';
import {OWNER_CONTACT_TIMEOUT_MS} from '../../src/lib/decisions/owner_contact.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import {CallKind, ENTRY, PEER, RunnerFixture} from './runner_fixture.js';

/** Delay of the checks of an agent that gets no processor time. */
const STALL_MS = 400;

// Guards against two runs of one task: the checks of an agent come late, and the lease of
// a run that cannot be stopped is renewed after the time on which its entry counts.
describe('A work runner whose checks come after the contact has ended', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.sendOrder('a');
    await fixture.settle();
    fixture.nowMs += OWNER_CONTACT_TIMEOUT_MS + STALL_MS;
    fixture.holds.splice(0);
  });

  afterEach(() => fixture.runner.stop());

  it('does not renew the lease of a run whose stop has no effect', async () => {
    fixture.outcomes[CallKind.STOP] = OrderOutcome.BROKEN;
    fixture.sendPong(fixture.nowMs, PEER);
    await fixture.runTimers();
    expect(fixture.stopped).to.include('a');
    const deadlines = fixture.holds.map(({deadlineMs}) => deadlineMs);
    expect(deadlines).to.have.length.above(0);
    expect(Math.max(...deadlines)).to.equal(0);
  });

  it('renews it if the entry has answered meanwhile', async () => {
    fixture.sendPong(fixture.nowMs, ENTRY);
    await fixture.runTimers();
    expect(fixture.stopped).to.deep.equal([]);
    const deadlines = fixture.holds.map(({deadlineMs}) => deadlineMs);
    expect(Math.max(...deadlines)).to.be.above(0);
  });
});
