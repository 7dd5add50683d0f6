import {expect} from 'chai';
import {OWNER_CONTACT_TIMEOUT_MS} from '../../src/lib/decisions/owner_contact.js';
import {RUN_EXPIRY_MS} from '../../src/lib/work/entry/run_expiry.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import {RunnerMessageKind} from '../../src/lib/work/agent/runner_messages.js';
import {CallKind, PEER, RunnerFixture} from './runner_fixture.js';

/** Delay of the checks of an agent that gets no processor time. */
const STALL_MS = 400;

// Guards against two runs of one task: the answer to a long poll is handled before the
// late check, and renews the lease of a run whose contact has ended.
describe('A work runner that handles a run list after the contact has ended', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.sendOrder('a');
    await fixture.settle();
  });

  afterEach(() => fixture.runner.stop());

  it('does not renew the lease of a run whose stop has no effect', async () => {
    const poll = fixture.holds.filter(({waitMs}) => waitMs > 0).at(-1);
    expect(poll).to.not.equal(undefined);
    const sentAtMs = fixture.nowMs;
    fixture.nowMs += OWNER_CONTACT_TIMEOUT_MS + STALL_MS;
    fixture.holds.splice(0);
    fixture.outcomes[CallKind.STOP] = OrderOutcome.BROKEN;
    fixture.runner.post({
      kind: RunnerMessageKind.HOLD_ANSWER,
      incarnation: 't1-life',
      sentAtMs,
      isLongPoll: true,
      fencingToken: poll?.fencingToken ?? 0,
      answer: {
        outcome: OrderOutcome.ACCEPTED,
        reason: '',
        clockMs: fixture.nowMs,
        running: [{task: 'a', run: 1, percent: 1}],
        ended: [],
      },
    });
    await fixture.settle();
    await fixture.runTimers();
    expect(fixture.stopped).to.include('a');
    const deadlines = fixture.holds.map(({deadlineMs}) => deadlineMs);
    expect(deadlines).to.have.length.above(0);
    expect(Math.max(...deadlines)).to.equal(0);
  });

  it('does not renew it with the start of a run of another entry', async () => {
    const contactMs = fixture.nowMs;
    fixture.nowMs += OWNER_CONTACT_TIMEOUT_MS + STALL_MS;
    fixture.starts.splice(0);
    fixture.outcomes[CallKind.STOP] = OrderOutcome.BROKEN;
    fixture.sendPong(fixture.nowMs, PEER);
    fixture.sendOrder('b', PEER);
    await fixture.settle();
    await fixture.runTimers();
    expect(fixture.stopped).to.include('a');
    const deadlines = fixture.starts.map(({deadlineMs}) => deadlineMs);
    expect(Math.max(0, ...deadlines)).to.be.below(contactMs + RUN_EXPIRY_MS);
  });
});
