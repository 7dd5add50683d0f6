import {expect} from 'chai';
import {EntryFrameKind} from '../../src/lib/core/work_frames.js';
import {AgentStream, EntryFleetFixture} from './entry_fleet_fixture.js';

/** Silence after which the entry has removed the session of an agent. */
const SILENCE_MS = 40_000;

// Guards against orders that are ignored without a word: the entry removes the session
// of a silent agent and numbers its orders anew, while the agent, frozen or with a link
// that opened again and again, still holds the highest number and drops the rest.
describe('An agent that returns to an entry that has removed its session', () => {
  let fixture: EntryFleetFixture;

  beforeEach(() => {
    fixture = EntryFleetFixture.create();
    fixture.sendHello(AgentStream.create());
    fixture.order('task-1');
    fixture.order('task-2');
    fixture.wait(SILENCE_MS);
    expect(fixture.fleet.find('agent-life')).to.equal(undefined);
  });

  it('gets orders above the highest number that its hello tells', () => {
    const stream = AgentStream.create();
    fixture.sendHello(stream, [], {through: 2});
    fixture.order('task-3');
    const sequences = stream.sent.flatMap(frame =>
      frame.kind === EntryFrameKind.ORDER ? [frame.order.sequence] : [],
    );
    expect(sequences).to.have.lengthOf(1);
    expect(sequences[0]).to.be.above(2);
  });
});
