import {expect} from 'chai';
import {
  HandOverOutcome,
  PeerMessageKind,
} from '../../src/lib/entry/peer_messages.js';
import {PeerManager} from '../../src/lib/entry/peer_manager.js';
import {HolderKind} from '../../src/lib/entry/request_router.js';
import {StoreContact} from '../../src/lib/records/configuration_view.js';
import type {ConfigurationView} from '../../src/lib/records/configuration_view.js';
import {PeerCallOutcome} from '../../src/lib/wire/peer_client.js';
import type {PeerConnection} from '../../src/lib/wire/peer_client.js';

interface FakePeer {
  /** Revision that the peer answers, or undefined if it does not answer. */
  revision: number | undefined;
  handOver: PeerCallOutcome;
}

interface Trial {
  readonly keeper: PeerManager;
  readonly peers: Map<string, FakePeer>;
  readonly asked: string[];
  readonly fireTimers: () => void;
}

function createView(revision: number): ConfigurationView {
  return {
    revision,
    dataCentresOut: [],
    teams: new Map(),
    taskClasses: new Map(),
    entries: ['x', 'y', 'z'].map(id => ({
      id,
      incarnation: `${id}-life`,
      address: `${id}:1`,
    })),
  };
}

function createTrial(): Trial {
  const peers = new Map<string, FakePeer>();
  for (const address of ['y:1', 'z:1']) {
    peers.set(address, {
      revision: undefined,
      handOver: PeerCallOutcome.REFUSED,
    });
  }
  const asked: string[] = [];
  const timers: Array<() => void> = [];
  const keeper = PeerManager.create({
    identity: {id: 'x', incarnation: 'x-life', dataCentre: 'a'},
    address: 'x:1',
    connect: address => connectFake(address, peers.get(address)!, asked),
    forwardWithinMs: 1000,
    readMonotonicMs: () => 0,
    startTimer: (_delayMs, fire) => {
      timers.push(fire);
      return () => undefined;
    },
    reportFailure: failure => {
      throw failure;
    },
  });
  const fireTimers = () => {
    for (const fire of timers.splice(0)) fire();
  };
  return {keeper, peers, asked, fireTimers};
}

function connectFake(
  address: string,
  peer: FakePeer,
  asked: string[],
): PeerConnection {
  const id = address.slice(0, 1);
  return {
    forward: async () => ({outcome: PeerCallOutcome.LOST, detail: ''}),
    announce: async () => {
      if (peer.revision === undefined) {
        return {outcome: PeerCallOutcome.LOST, detail: ''};
      }
      const entry = {id, incarnation: `${id}-life`, dataCentre: 'a'};
      const {revision} = peer;
      const value = {entry, revision, contact: StoreContact.CONFIRMED};
      return {outcome: PeerCallOutcome.ANSWERED, value, detail: ''};
    },
    sendKeyTables: async () => {
      asked.push(address);
      return {outcome: peer.handOver, detail: ''};
    },
    close: () => undefined,
  };
}

function settleMailboxes(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

async function handOver(trial: Trial): Promise<HandOverOutcome> {
  return new Promise(reportEnd => {
    trial.keeper.post({
      kind: PeerMessageKind.HAND_OVER,
      keyTables: [],
      reportOutcome: reportEnd,
    });
  });
}

describe('PeerKeeper', () => {
  it('counts a revision as accepted when a majority holds it', async () => {
    const trial = createTrial();
    trial.peers.get('y:1')!.revision = 7;
    trial.keeper.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    expect(await trial.keeper.awaitMajority(7, 100)).to.equal(true);
  });

  it('does not count this entry alone for a majority of three', async () => {
    const trial = createTrial();
    trial.keeper.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    const waiting = trial.keeper.awaitMajority(7, 100);
    await settleMailboxes();
    trial.fireTimers();
    expect(await waiting).to.equal(false);
  });

  it('does not count a peer that answers an older revision', async () => {
    const trial = createTrial();
    trial.peers.get('y:1')!.revision = 6;
    trial.keeper.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    const waiting = trial.keeper.awaitMajority(7, 100);
    await settleMailboxes();
    trial.fireTimers();
    expect(await waiting).to.equal(false);
  });

  it('tells a peer again that gave no answer', async () => {
    const trial = createTrial();
    trial.keeper.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    await settleMailboxes();
    for (const peer of trial.peers.values()) peer.revision = 7;
    trial.fireTimers();
    expect(await trial.keeper.awaitMajority(7, 100)).to.equal(true);
  });

  it('asks another peer to take the sessions only after a refusal', async () => {
    const trial = createTrial();
    trial.peers.get('z:1')!.handOver = PeerCallOutcome.ANSWERED;
    trial.keeper.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    expect(await handOver(trial)).to.equal(HandOverOutcome.ACCEPTED);
    expect(trial.asked).to.deep.equal(['y:1', 'z:1']);
  });

  it('asks no other peer when the answer of one is lost', async () => {
    const trial = createTrial();
    trial.peers.get('y:1')!.handOver = PeerCallOutcome.LOST;
    trial.peers.get('z:1')!.handOver = PeerCallOutcome.ANSWERED;
    trial.keeper.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    expect(await handOver(trial)).to.equal(HandOverOutcome.LOST);
    expect(trial.asked).to.deep.equal(['y:1']);
  });

  it('knows the holder of an ended life until it leaves', async () => {
    const {keeper} = createTrial();
    keeper.post({
      kind: PeerMessageKind.PEER_HELD,
      address: 'y:1',
      incarnations: ['old-life'],
    });
    await settleMailboxes();
    expect(keeper.findHolder('old-life').kind).to.equal(HolderKind.PEER);
    const view = createView(8);
    const entries = view.entries.filter(entry => entry.id !== 'y');
    keeper.post({kind: PeerMessageKind.VIEW, view: {...view, entries}});
    await settleMailboxes();
    expect(keeper.findHolder('old-life').kind).to.equal(HolderKind.NONE);
  });
});
