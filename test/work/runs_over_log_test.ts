import {expect} from 'chai';
import {AgentFrameKind} from '../../src/lib/core/work_frames.js';
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import {RunStatusChange} from '../../src/lib/work/entry/run_status_change.js';
import {AgentStream, EntryFleetFixture} from './entry_fleet_fixture.js';

// Guards against a second run of a task whose reason no line of a log tells: an entry
// took the first one for over by the agent's silence, its hello or another life of it.
describe('An entry that takes runs for over without the report of their agent', () => {
  let entry: EntryFleetFixture;

  beforeEach(() => {
    entry = EntryFleetFixture.create();
    entry.sendHello(AgentStream.create());
    entry.order('a');
  });

  function expectLine(proof: RunStatusChange, silentMs: number): void {
    expect(entry.changes.at(-1)).to.deep.equal(['a', proof]);
    expect(entry.listLines(FleetEvent.RUNS_OVER)).to.deep.equal([
      {agent: 'agent-1', agentLife: 'agent-life', proof, runs: 1, silentMs},
    ]);
  }

  it('logs the silence of the agent', () => {
    entry.wait(1700);
    expectLine(RunStatusChange.EXPIRED, 1700);
  });

  it('logs that the hello does not list them', () => {
    entry.sendHello(AgentStream.create());
    expectLine(RunStatusChange.NOT_LISTED, 0);
  });

  it('logs that a later life of the agent controls the target', () => {
    entry.nowMs += 300;
    entry.sendHello(AgentStream.create(), [], {life: 'agent-life-2'});
    expectLine(RunStatusChange.REPLACED, 300);
  });

  it('logs nothing while the hello lists them', () => {
    const stream = AgentStream.create();
    entry.sendHello(stream, ['a']);
    entry.receive(stream, {
      kind: AgentFrameKind.PING,
      sentAtMs: 1,
      peerBacklog: 0,
      revision: 0,
    });
    expect(entry.listLines(FleetEvent.RUNS_OVER)).to.deep.equal([]);
  });
});
