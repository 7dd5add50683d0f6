import {expect} from 'chai';
import {
  HandOverOutcome,
  PeerMessageKind,
} from '../../src/lib/entry/peer_messages.js';
import {PeerManager} from '../../src/lib/entry/peer_manager.js';
import {HolderKind} from '../../src/lib/entry/holder.js';
import {StoreContact} from '../../src/lib/records/configuration_view.js';
import type {ConfigurationView} from '../../src/lib/records/configuration_view.js';
import {PeerCallOutcome} from '../../src/lib/wire/peer_client.js';
import type {PeerConnection} from '../../src/lib/wire/peer_client.js';

interface FakePeer {
  /** Revision in the peer's reply; undefined if the peer does not reply. */
  revision: number | undefined;
  handOver: PeerCallOutcome;
}

interface Fixture {
  readonly manager: PeerManager;
  readonly peers: Map<string, FakePeer>;
  readonly attempted: string[];
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
      incarnation: `${id}-incarnation`,
      address: `${id}:1`,
    })),
  };
}

function createFixture(): Fixture {
  const peers = new Map<string, FakePeer>();
  for (const address of ['y:1', 'z:1']) {
    peers.set(address, {
      revision: undefined,
      handOver: PeerCallOutcome.REFUSED,
    });
  }
  const attempted: string[] = [];
  const timers: Array<() => void> = [];
  const manager = PeerManager.create({
    identity: {id: 'x', incarnation: 'x-incarnation', dataCentre: 'a'},
    address: 'x:1',
    connect: address => connectFake(address, peers.get(address)!, attempted),
    forwardTimeoutMs: 1000,
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
  return {manager, peers, attempted, fireTimers};
}

function connectFake(
  address: string,
  peer: FakePeer,
  attempted: string[],
): PeerConnection {
  const id = address.slice(0, 1);
  return {
    forward: async () => ({outcome: PeerCallOutcome.LOST, detail: ''}),
    announce: async () => {
      if (peer.revision === undefined) {
        return {outcome: PeerCallOutcome.LOST, detail: ''};
      }
      const entry = {id, incarnation: `${id}-incarnation`, dataCentre: 'a'};
      const {revision} = peer;
      const value = {entry, revision, contact: StoreContact.CONFIRMED};
      return {outcome: PeerCallOutcome.ANSWERED, value, detail: ''};
    },
    sendKeyTables: async () => {
      attempted.push(address);
      return {outcome: peer.handOver, detail: ''};
    },
    close: () => undefined,
  };
}

function settleMailboxes(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

async function handOver(fixture: Fixture): Promise<HandOverOutcome> {
  return new Promise(reportOutcome => {
    fixture.manager.post({
      kind: PeerMessageKind.HAND_OVER,
      keyTables: [],
      reportOutcome,
    });
  });
}

describe('PeerManager', () => {
  it('reports a majority once one peer of two holds the revision', async () => {
    const fixture = createFixture();
    fixture.peers.get('y:1')!.revision = 7;
    fixture.manager.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    expect(await fixture.manager.awaitMajority(7, 100)).to.equal(true);
  });

  it('does not count this entry alone as a majority of three', async () => {
    const fixture = createFixture();
    fixture.manager.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    const waiting = fixture.manager.awaitMajority(7, 100);
    await settleMailboxes();
    fixture.fireTimers();
    expect(await waiting).to.equal(false);
  });

  it('does not count a peer that replies with an older revision', async () => {
    const fixture = createFixture();
    fixture.peers.get('y:1')!.revision = 6;
    fixture.manager.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    const waiting = fixture.manager.awaitMajority(7, 100);
    await settleMailboxes();
    fixture.fireTimers();
    expect(await waiting).to.equal(false);
  });

  it('repeats an announcement that got no reply', async () => {
    const fixture = createFixture();
    fixture.manager.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    await settleMailboxes();
    for (const peer of fixture.peers.values()) peer.revision = 7;
    fixture.fireTimers();
    expect(await fixture.manager.awaitMajority(7, 100)).to.equal(true);
  });

  it('hands sessions over to another peer only after a refusal', async () => {
    const fixture = createFixture();
    fixture.peers.get('z:1')!.handOver = PeerCallOutcome.ANSWERED;
    fixture.manager.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    expect(await handOver(fixture)).to.equal(HandOverOutcome.ACCEPTED);
    expect(fixture.attempted).to.deep.equal(['y:1', 'z:1']);
  });

  it('tries no other peer when the reply of one is lost', async () => {
    const fixture = createFixture();
    fixture.peers.get('y:1')!.handOver = PeerCallOutcome.LOST;
    fixture.peers.get('z:1')!.handOver = PeerCallOutcome.ANSWERED;
    fixture.manager.post({kind: PeerMessageKind.VIEW, view: createView(7)});
    expect(await handOver(fixture)).to.equal(HandOverOutcome.LOST);
    expect(fixture.attempted).to.deep.equal(['y:1']);
  });

  it('knows the holder of ended sessions until the holder leaves', async () => {
    const {manager} = createFixture();
    manager.post({
      kind: PeerMessageKind.PEER_HELD,
      address: 'y:1',
      incarnations: ['old-incarnation'],
    });
    await settleMailboxes();
    expect(manager.findHolder('old-incarnation').kind).to.equal(
      HolderKind.PEER,
    );
    const view = createView(8);
    const entries = view.entries.filter(entry => entry.id !== 'y');
    manager.post({kind: PeerMessageKind.VIEW, view: {...view, entries}});
    await settleMailboxes();
    expect(manager.findHolder('old-incarnation').kind).to.equal(
      HolderKind.NONE,
    );
  });

  // Guards against answering that a session has ended while a peer holds it: a
  // restarted entry is asked before that peer has seen its registration.
  describe('asked for the sessions of an earlier life of this entry', () => {
    function awaitHolder({manager}: Fixture): () => boolean {
      let isResumed = false;
      manager.post({
        kind: PeerMessageKind.AWAIT_HOLDER,
        incarnation: 'earlier-incarnation',
        resume: () => (isResumed = true),
      });
      return () => isResumed;
    }

    it('waits until the peer that holds them announces it', async () => {
      const fixture = createFixture();
      const isResumed = awaitHolder(fixture);
      await settleMailboxes();
      expect(isResumed()).to.equal(false);
      fixture.manager.post({
        kind: PeerMessageKind.PEER_HELD,
        address: 'z:1',
        incarnations: ['earlier-incarnation'],
      });
      await settleMailboxes();
      expect(isResumed()).to.equal(true);
    });

    it('waits no longer once all peers have announced what they hold', async () => {
      const fixture = createFixture();
      const isResumed = awaitHolder(fixture);
      fixture.manager.post({kind: PeerMessageKind.VIEW, view: createView(7)});
      const kind = PeerMessageKind.PEER_HELD;
      fixture.manager.post({kind, address: 'y:1', incarnations: []});
      await settleMailboxes();
      expect(isResumed()).to.equal(false);
      fixture.manager.post({kind, address: 'z:1', incarnations: []});
      await settleMailboxes();
      expect(isResumed()).to.equal(true);
    });

    it('waits for a limited time', async () => {
      const fixture = createFixture();
      const isResumed = awaitHolder(fixture);
      await settleMailboxes();
      fixture.fireTimers();
      expect(isResumed()).to.equal(true);
    });
  });
});
