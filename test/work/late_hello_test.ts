import {expect} from 'chai';
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import {RunStatusChange} from '../../src/lib/work/entry/run_status_change.js';
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
    entry.sendHello(present, [], {number: 2});
    entry.order('a');
    entry.sendHello(late, [], {number: 1});
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
      {agent: 'agent-1', agentLife: 'agent-life', hello: 1},
    ]);
  });

  it('accepts the hello of a newer link', () => {
    const next = AgentStream.create();
    entry.sendHello(next, ['a'], {number: 3});
    expect(present.isClosed).to.equal(true);
    expect(next.isClosed).to.equal(false);
  });

  it('accepts a hello of an earlier version, which has no number', () => {
    const next = AgentStream.create();
    entry.sendHello(next, ['a'], {number: undefined});
    expect(next.isClosed).to.equal(false);
  });
});

// Guards against two runs of one task: what an agent sent before it was killed arrives
// after its next life has taken orders, and counts as the end of that life.
describe('An entry that hears an earlier life of an agent late', () => {
  const FORMER = {life: 'former-life'};
  const FORMER_TOKEN = 100;
  const TOKEN = 200;
  let entry: EntryFleetFixture;

  beforeEach(() => {
    entry = EntryFleetFixture.create();
  });

  it('keeps the runs of the present life', () => {
    entry.sendHello(AgentStream.create(), [], {}, TOKEN);
    entry.order('a');
    entry.nowMs += 100;
    entry.sendHello(AgentStream.create(), [], FORMER, FORMER_TOKEN);
    expect(entry.changes).to.deep.equal([]);
    const stream = AgentStream.create();
    entry.sendHello(stream, ['a'], {}, TOKEN);
    expect(entry.changes).to.deep.equal([['a', RunStatusChange.STILL_HELD]]);
  });

  it('takes the runs of the earlier life for over once the next one controls the target', () => {
    entry.sendHello(AgentStream.create(), [], FORMER, FORMER_TOKEN);
    entry.order('a', FORMER.life);
    entry.sendHello(AgentStream.create(), [], {}, TOKEN);
    expect(entry.changes).to.deep.equal([['a', RunStatusChange.REPLACED]]);
  });

  it('goes by the arrival if an earlier version sends no token', () => {
    entry.sendHello(AgentStream.create(), [], FORMER);
    entry.order('a', FORMER.life);
    entry.sendHello(AgentStream.create(), [], {}, TOKEN);
    expect(entry.changes).to.deep.equal([['a', RunStatusChange.REPLACED]]);
  });
});
