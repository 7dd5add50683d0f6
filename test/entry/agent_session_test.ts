import {expect} from 'chai';
import {TargetCondition} from '../../src/lib/core/link_messages.js';
import type {AgentHello, EntryFrame} from '../../src/lib/core/link_messages.js';
import {AgentSession} from '../../src/lib/entry/agent_session.js';
import type {AgentStreamHandle} from '../../src/lib/entry/dispatcher_messages.js';

const OWN = 'entry-life';

function createHello(parts: Partial<AgentHello> = {}): AgentHello {
  return {
    agent: {id: 'agent', incarnation: 'agent-life', dataCentre: 'a'},
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
    ...parts,
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

function createAccount(hello: AgentHello, stream: FakeStream): AgentSession {
  return AgentSession.create(hello, stream, 0, {
    entryIncarnation: OWN,
    startNamedTimer: () => () => undefined,
    fire: () => undefined,
    perform: () => undefined,
  });
}

function addStart(account: AgentSession, index: number): number {
  const task = {job: 'j', team: 't', index, expectedMs: 50};
  return account.addStart(
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

describe('AgentAccount', () => {
  it('does not trust the greeting of an older stream', () => {
    const account = createAccount(
      createHello({streamNumber: 2}),
      createStream(1),
    );
    const late = createHello({streamNumber: 1});
    expect(account.replaceStream(late, createStream(2))).to.equal(false);
    const again = createHello({streamNumber: 2});
    expect(account.replaceStream(again, createStream(3))).to.equal(false);
    const newer = createHello({streamNumber: 3});
    expect(account.replaceStream(newer, createStream(4))).to.equal(true);
  });

  it('takes back only what lies above the highest sequence received', () => {
    const account = createAccount(createHello(), createStream(1));
    const sequences = [0, 1, 2].map(index => addStart(account, index));
    const returned = account.takeUnreceived(sequences[0]);
    expect(returned.map(sent => sent.task.index)).to.deep.equal([1, 2]);
    expect([...account.sent.keys()]).to.deep.equal([sequences[0]]);
  });

  it('never sends on a new stream what gathered for the old one', () => {
    const account = createAccount(createHello(), createStream(1));
    addStart(account, 0);
    const stream = createStream(2);
    account.replaceStream(createHello({streamNumber: 2}), stream);
    account.flush();
    expect(stream.frames).to.deep.equal([]);
  });

  it('numbers above what an agent that was given up has seen', () => {
    const hello = createHello({
      knownEntryIncarnation: OWN,
      highestSequence: 50,
    });
    const account = createAccount(hello, createStream(1));
    expect(addStart(account, 0)).to.equal(51);
  });

  it('begins at one for an agent that knew another life of the entry', () => {
    const hello = createHello({
      knownEntryIncarnation: 'x',
      highestSequence: 50,
    });
    const account = createAccount(hello, createStream(1));
    expect(addStart(account, 0)).to.equal(1);
  });
});
