import {expect} from 'chai';
import {ENTRY, RunnerFixture} from './runner_fixture.js';

const DIRECT = '10.0.0.1:7720';
const SEED = 'entries:7720';

/** Time after which an entry counts as lost by a link that stays closed. */
const LOST_MS = 11_000;

// Guards against two runs of one task: one of two links to an entry ends for good, the
// runner forgets what it has received from the entry, and its next hello on the other
// link claims that no order has arrived.
describe('A runner that has lost one of two links to an entry', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    await fixture.openLink(SEED, 1);
    await fixture.openLink(DIRECT, 2);
    await fixture.sendOrder(DIRECT, 1);
    expect(fixture.started).to.deep.equal([1]);
  });

  afterEach(() => fixture.runner.stop());

  async function expectCounted(): Promise<void> {
    await fixture.closeLink(DIRECT);
    await fixture.writeHello(DIRECT, 3);
    const hello = fixture.hellos.get(DIRECT);
    const isKnown = hello?.knownEntryIncarnation === ENTRY;
    // A hello that names no entry proves nothing, and no task is placed again.
    if (isKnown) expect(hello?.highestSequence).to.equal(1);
  }

  it('still counts the orders received, after the time for a lost entry', async () => {
    await fixture.closeLink(SEED);
    await fixture.clock.advance(LOST_MS);
    await expectCounted();
  });

  it('still counts them after another entry has answered at that address', async () => {
    await fixture.closeLink(SEED);
    await fixture.openLink(SEED, 2, 'other-entry-life');
    await expectCounted();
  });

  it('still counts them while both links are open', async () => {
    await expectCounted();
  });
});
