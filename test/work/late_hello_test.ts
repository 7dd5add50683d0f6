import {expect} from 'chai';
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import {AgentStream, EntryFleetFixture} from './entry_fleet_fixture.js';

// Guards against two runs of one task: the hello of a link that the agent has closed
// arrives after that of the next link, and does not list what was ordered on it.
describe('An entry that receives the hello of an older link late', () => {
  let entry: EntryFleetFixture;
  let present: AgentStream;
  let late: AgentStream;

  beforeEach(() => {
    entry = EntryFleetFixture.create();
    present = AgentStream.create();
    late = AgentStream.create();
    entry.sendHello(present, [], {link: 2});
    entry.order('a');
    entry.sendHello(late, [], {link: 1});
  });

  it('does not take the runs of the agent for over', () => {
    expect(entry.changes).to.deep.equal([]);
    expect(entry.listLines(FleetEvent.RUNS_OVER)).to.deep.equal([]);
  });

  it('closes the late stream and keeps the present one', () => {
    expect(late.isClosed).to.equal(true);
    expect(present.isClosed).to.equal(false);
    const sent = present.sent.length;
    entry.order('b');
    expect(present.sent).to.have.length(sent + 1);
  });

  it('logs the hello', () => {
    expect(entry.listLines(FleetEvent.HELLO_REJECTED)).to.deep.equal([
      {agent: 'agent-1', agentLife: 'agent-life', link: 1},
    ]);
  });

  it('accepts the hello of a newer link', () => {
    const next = AgentStream.create();
    entry.sendHello(next, ['a'], {link: 3});
    expect(present.isClosed).to.equal(true);
    expect(next.isClosed).to.equal(false);
  });

  it('accepts a hello of an earlier version, which has no number', () => {
    const next = AgentStream.create();
    entry.sendHello(next, ['a'], {link: undefined});
    expect(next.isClosed).to.equal(false);
  });
});
