import {expect} from 'chai';
import {TargetCondition} from '../../src/lib/core/link_messages.js';
import type {AgentHello, EntryFrame} from '../../src/lib/core/link_messages.js';
import {AgentSession} from '../../src/lib/entry/agent_session.js';
import type {AgentStreamHandle} from '../../src/lib/entry/dispatcher_messages.js';

const OWN = 'entry-incarnation';

function createHello(overrides: Partial<AgentHello> = {}): AgentHello {
  return {
    agent: {id: 'agent', incarnation: 'agent-incarnation', dataCentre: 'a'},
    streamNumber: 1,
    knownEntryIncarnation: '',
    highestSequence: 0,
    load: {
      target: TargetCondition.PRESENT,
      targetName: 't',
      targetInstance: 'i',
      isPermitted: true,
      isLeaving: false,
      slots: 8,
      running: 0,
      queued: 0,
      queueLimit: 4,
      configurationRevision: 1,
      ownOutstanding: 0,
      highestSequence: 0,
    },
    ...overrides,
  };
}

interface FakeStream extends AgentStreamHandle {
  readonly frames: EntryFrame[];
}

function createStream(id: number): FakeStream {
  const frames: EntryFrame[] = [];
  return {
    id,
    frames,
    send: frame => frames.push(frame),
    close: () => undefined,
  };
}

function createSession(hello: AgentHello, stream: FakeStream): AgentSession {
  return AgentSession.create(hello, stream, 0, {
    entryIncarnation: OWN,
    startNamedTimer: () => () => undefined,
    fire: () => undefined,
    perform: () => undefined,
  });
}

function addStart(session: AgentSession, index: number): number {
  const task = {job: 'j', team: 't', index, expectedMs: 50};
  return session.addStart(
    {
      job: 'j',
      index,
      team: 't',
      taskClass: 'c',
      payload: new Uint8Array(0),
      startWithinMs: 1,
      runWithinMs: 1,
      trace: '',
    },
    task,
  );
}

describe('AgentSession', () => {
  it('rejects the hello of a stream that is not newer', () => {
    const session = createSession(
      createHello({streamNumber: 2}),
      createStream(1),
    );
    const older = createHello({streamNumber: 1});
    expect(session.replaceStream(older, createStream(2))).to.equal(false);
    const same = createHello({streamNumber: 2});
    expect(session.replaceStream(same, createStream(3))).to.equal(false);
    const newer = createHello({streamNumber: 3});
    expect(session.replaceStream(newer, createStream(4))).to.equal(true);
  });

  it('returns only the tasks above the highest sequence received', () => {
    const session = createSession(createHello(), createStream(1));
    const sequences = [0, 1, 2].map(index => addStart(session, index));
    const returned = session.takeUnreceived(sequences[0]);
    expect(returned.map(sent => sent.task.index)).to.deep.equal([1, 2]);
    expect([...session.sent.keys()]).to.deep.equal([sequences[0]]);
  });

  it('never sends on a new stream what was buffered for the old one', () => {
    const session = createSession(createHello(), createStream(1));
    addStart(session, 0);
    const stream = createStream(2);
    session.replaceStream(createHello({streamNumber: 2}), stream);
    session.flush();
    expect(stream.frames).to.deep.equal([]);
  });

  it('numbers starts above the highest sequence of an agent that was declared lost', () => {
    const hello = createHello({
      knownEntryIncarnation: OWN,
      highestSequence: 50,
    });
    const session = createSession(hello, createStream(1));
    expect(addStart(session, 0)).to.equal(51);
  });

  it('numbers starts from one for an agent that knew another incarnation of the entry', () => {
    const hello = createHello({
      knownEntryIncarnation: 'x',
      highestSequence: 50,
    });
    const session = createSession(hello, createStream(1));
    expect(addStart(session, 0)).to.equal(1);
  });
});
