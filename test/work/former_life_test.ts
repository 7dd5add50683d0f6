import {expect} from 'chai';
import {AgentStream, EntryFleetFixture} from './entry_fleet_fixture.js';

const FORMER = {life: 'former-life'};
const FORMER_TOKEN = 100;
const TOKEN = 200;

// Guards against tasks placed on a life of an agent that is over: its hello arrives after
// that of its successor, which has the higher fencing token.
describe('An entry that hears a former life of an agent late', () => {
  let entry: EntryFleetFixture;

  beforeEach(() => {
    entry = EntryFleetFixture.create();
    entry.sendHello(AgentStream.create(), [], {}, TOKEN);
    entry.nowMs += 100;
    entry.sendHello(AgentStream.create(), [], FORMER, FORMER_TOKEN);
  });

  it('places tasks on the present life only', () => {
    const usable = entry.fleet.listUsable('runner', [], entry.nowMs);
    expect(usable.map(({id}) => id)).to.deep.equal(['agent-life']);
  });
});

// Guards against the loss of the present life's session: it has no token yet, since it has
// not taken its target over, when its predecessor's frames arrive.
describe('An entry that hears a former life before the present one has a token', () => {
  it('keeps the session of the present life', () => {
    const entry = EntryFleetFixture.create();
    entry.sendHello(AgentStream.create(), [], FORMER, FORMER_TOKEN);
    entry.sendHello(AgentStream.create(), [], {}, 0);
    entry.nowMs += 10;
    entry.sendHello(
      AgentStream.create(),
      [],
      {...FORMER, number: 2},
      FORMER_TOKEN,
    );
    expect(entry.fleet.find('agent-life')).to.not.equal(undefined);
  });
});

// Guards against orders that the agent ignores: the session began with the late hello of
// an older link, and the next hello tells of a higher number.
describe('An agent whose older hello began its session anew', () => {
  it('gets orders above the number in the latest hello', () => {
    const entry = EntryFleetFixture.create();
    entry.sendHello(AgentStream.create(), [], {number: 2, through: 0});
    const stream = AgentStream.create();
    entry.sendHello(stream, [], {number: 4, through: 5});
    entry.order('task-1');
    const sequences = stream.sent.flatMap(frame =>
      'order' in frame ? [frame.order.sequence] : [],
    );
    expect(sequences[0]).to.be.above(5);
  });
});
