import {expect} from 'chai';
import {TaskEnd} from '../../src/lib/core/job.js';
import {AgentRegistryFixture} from '../entry/agent_registry_fixture.js';
import {RunnerFixture} from './runner_fixture.js';

const FIRST = '10.0.0.1:7720';
const SECOND = 'entry-1:7720';

// Guards against two runs of one task: the hello on one of two links to an entry tells
// the highest order received, the entry places later ones elsewhere, and such an order
// still arrives on the other link.
describe('A runner that knows one entry by two addresses', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    await fixture.openLink(FIRST, 1);
    await fixture.openLink(SECOND, 2);
    await fixture.openLink(FIRST, 3);
    await fixture.sendOrder(FIRST, 1);
    expect(fixture.started).to.deep.equal([1]);
  });

  afterEach(() => fixture.runner.stop());

  it('starts no order that its latest hello to the entry does not count', async () => {
    await fixture.writeHello(SECOND, 4);
    await fixture.sendOrder(FIRST, 2);
    const hello = fixture.hellos.get(SECOND);
    const uncounted = fixture.started.filter(
      sequence => sequence > (hello?.highestSequence ?? 0),
    );
    expect(uncounted).to.deep.equal([]);
  });

  it('starts no order that the entry places again after its latest hello', async () => {
    const entry = AgentRegistryFixture.create();
    entry.receiveHello('agent-life', {streamNumber: 3});
    await entry.sendTask('agent-life', 1);
    await entry.sendTask('agent-life', 2);
    await fixture.writeHello(SECOND, 4);
    await fixture.sendOrder(FIRST, 2);
    entry.receiveHello('agent-life', fixture.hellos.get(SECOND));
    entry.registry.stopTimers();
    const isPlacedAgain = entry.ends.get(2) === TaskEnd.NOT_STARTED;
    const isStarted = fixture.started.includes(2);
    expect(isPlacedAgain && isStarted).to.equal(false);
  });
});
