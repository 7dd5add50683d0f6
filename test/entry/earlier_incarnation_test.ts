import {expect} from 'chai';
import {TaskEnd} from '../../src/lib/core/job.js';
import {AgentRegistryFixture} from './agent_registry_fixture.js';

const EARLIER = 'agent-earlier-life';
const LATER = 'agent-later-life';

// Guards against tasks that count as lost while they run: the hello of an agent's
// earlier incarnation arrives after that of the later one, and replaces it.
describe('A hello of an earlier incarnation of an agent that arrives late', () => {
  let fixture: AgentRegistryFixture;

  beforeEach(async () => {
    fixture = AgentRegistryFixture.create();
    fixture.receiveHello(LATER);
    await fixture.sendTask(LATER, 1);
  });

  afterEach(() => fixture.registry.stopTimers());

  it('ends no task of the later incarnation', () => {
    fixture.receiveHello(EARLIER);
    expect([...fixture.ends]).to.deep.equal([]);
  });

  it('is told from that of a latest one, which ends the tasks before it', () => {
    fixture.receiveHello('agent-latest-life');
    expect([...fixture.ends]).to.deep.equal([[1, TaskEnd.UNKNOWN]]);
  });
});
