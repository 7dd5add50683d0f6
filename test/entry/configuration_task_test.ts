import {expect} from 'chai';
import {PostOutcome} from '../../src/lib/core/task.js';
import {ConfigurationMessageKind} from '../../src/lib/entry/configuration_message.js';
import {ConfigurationTask} from '../../src/lib/entry/configuration_task.js';
import {EntryRegistrationState} from '../../src/lib/entry/entry_registration_chart.js';
import type {RecordReport} from '../../src/lib/records/apply_records.js';
import {StoreContact} from '../../src/lib/records/configuration_view.js';
import type {
  ConfigurationEvidence,
  ConfigurationView,
} from '../../src/lib/records/configuration_view.js';
import {ManualClock} from '../fakes/manual_clock.js';
import {MemoryStore} from '../fakes/memory_store.js';

const PREFIX = '/foxtailbay/';
const ENTRY_KEY = `${PREFIX}entries/entry-1`;

interface Fixture {
  readonly task: ConfigurationTask;
  readonly views: ConfigurationView[];
  readonly evidence: ConfigurationEvidence[];
  readonly reports: RecordReport[];
  readonly states: EntryRegistrationState[];
}

describe('ConfigurationTask', () => {
  let clock: ManualClock;
  let store: MemoryStore;
  let tasks: ConfigurationTask[];

  beforeEach(() => {
    clock = ManualClock.create();
    store = MemoryStore.create();
    tasks = [];
  });

  afterEach(async () => {
    for (const task of tasks) await task.stop();
  });

  function createFixture(incarnation = 'first'): Fixture {
    const fixture = {
      views: [] as ConfigurationView[],
      evidence: [] as ConfigurationEvidence[],
      reports: [] as RecordReport[],
      states: [] as EntryRegistrationState[],
    };
    const task = ConfigurationTask.create({
      store: store.createClient(),
      identity: {id: 'entry-1', incarnation, dataCentre: 'vn-south-a'},
      address: `127.0.0.1:${incarnation}`,
      prefix: PREFIX,
      watchWaitMs: 1000,
      callTimeoutMs: 1500,
      leaseMs: 9000,
      publishView: view => fixture.views.push(view),
      publishEvidence: evidence => fixture.evidence.push(evidence),
      reportRecord: report => fixture.reports.push(report),
      reportRegistration: state => fixture.states.push(state),
      reportFailure: () => undefined,
      readMonotonicMs: clock.readMs,
      startTimer: clock.startTimer,
      drawRandom: () => 0.5,
    });
    tasks.push(task);
    return {task, ...fixture};
  }

  function putDataCentre(name: string, service: string): number {
    return store.put(
      `${PREFIX}records/data-centre/${name}`,
      JSON.stringify({
        schemaVersion: 1,
        kind: 'data-centre',
        name,
        writeId: 'w',
        by: 'test',
        spec: {service},
      }),
    );
  }

  it('publishes the listed view, then each change, with one watch open', async () => {
    const first = putDataCentre('a', 'out');
    const {views} = createFixture();
    await clock.advance(100);
    expect(views[0].revision).to.equal(first);
    expect(views[0].dataCentresOut).to.deep.equal(['a']);
    const second = putDataCentre('b', 'out');
    await clock.advance(100);
    expect(views.at(-1)!.revision).to.equal(second);
    expect(views.at(-1)!.dataCentresOut).to.deep.equal(['a', 'b']);
    expect(store.waiting).to.equal(1);
  });

  it('dates evidence by the time at which the confirming call was sent', async () => {
    const {evidence} = createFixture();
    await clock.advance(500);
    const before = evidence.at(-1)!.confirmedSentAtMs;
    store.releaseWatches();
    await clock.advance(0);
    const {contact, confirmedSentAtMs} = evidence.at(-1)!;
    expect(contact).to.equal(StoreContact.CONFIRMED);
    expect(confirmedSentAtMs).to.be.within(before, 499);
  });

  it('registers itself under a lease and renews the lease', async () => {
    const {states, views} = createFixture();
    await clock.advance(7000);
    expect(states.at(-1)).to.equal(EntryRegistrationState.REGISTERED);
    expect(store.calls.renewLease).to.equal(2);
    expect(views.at(-1)!.entries).to.deep.equal([
      {id: 'entry-1', incarnation: 'first', address: '127.0.0.1:first'},
    ]);
  });

  it('starts while the store is down, retries slowly and catches up', async () => {
    store.faults.isDown = true;
    const {views, evidence} = createFixture();
    await clock.advance(60_000);
    expect(views).to.have.length(0);
    expect(evidence.some(e => e.contact === StoreContact.CONFIRMED)).to.equal(
      false,
    );
    expect(store.calls.list).to.be.within(20, 60);
    store.faults.isDown = false;
    await clock.advance(3000);
    expect(views).to.not.have.length(0);
    expect(store.read(ENTRY_KEY)).to.not.equal(undefined);
  });

  it('keeps the last view and reports lost contact in an outage', async () => {
    putDataCentre('a', 'out');
    const {views, evidence} = createFixture();
    await clock.advance(500);
    const view = views.at(-1);
    store.breakDown();
    await clock.advance(5000);
    expect(views.at(-1)).to.equal(view);
    expect(evidence.at(-1)!.contact).to.equal(StoreContact.LOST);
    expect(evidence.at(-1)!.confirmedSentAtMs).to.be.below(500);
  });

  it('reports lost contact when a watch call gets no answer', async () => {
    const {evidence} = createFixture();
    await clock.advance(100);
    await clock.advance(1600);
    expect(evidence.at(-1)!.contact).to.equal(StoreContact.LOST);
  });

  it('neither applies nor confirms the answers of a stale replica', async () => {
    const old = putDataCentre('a', 'in');
    const {views, evidence} = createFixture();
    await clock.advance(500);
    putDataCentre('a', 'out');
    await clock.advance(500);
    const confirmed = evidence.at(-1)!.confirmedSentAtMs;
    store.faults.staleRevision = old;
    for (let i = 0; i < 5; i += 1) {
      store.releaseWatches();
      await clock.advance(3000);
    }
    expect(views.at(-1)!.dataCentresOut).to.deep.equal(['a']);
    expect(evidence.at(-1)).to.deep.equal({
      contact: StoreContact.LOST,
      confirmedSentAtMs: confirmed,
    });
  });

  it('lists again after compaction and removes deleted records', async () => {
    putDataCentre('a', 'out');
    const {views} = createFixture();
    await clock.advance(500);
    store.faults.compactedRevision = Number.MAX_SAFE_INTEGER;
    store.releaseWatches();
    await clock.advance(50);
    const held = store.read(`${PREFIX}records/data-centre/a`)!;
    await store.createClient().remove(held.key, held.revision);
    await clock.advance(50);
    store.faults.compactedRevision = 0;
    await clock.advance(3000);
    expect(views.at(-1)!.dataCentresOut).to.deep.equal([]);
    expect(views.at(-1)!.revision).to.equal(store.revision);
  });

  it('applies the view of a peer until the store is as recent', async () => {
    putDataCentre('a', 'in');
    const {task, views, evidence} = createFixture();
    await clock.advance(500);
    const revision = store.revision + 1;
    const learned = {revision, dataCentresOut: ['a']};
    task.post({kind: ConfigurationMessageKind.LEARN, learned});
    await clock.advance(0);
    expect(views.at(-1)!.dataCentresOut).to.deep.equal(['a']);
    expect(evidence.at(-1)!.contact).to.equal(StoreContact.LOST);
    store.releaseWatches();
    await clock.advance(2000);
    expect(views.at(-1)!.dataCentresOut).to.deep.equal(['a']);
    expect(putDataCentre('a', 'out')).to.equal(revision);
    await clock.advance(100);
    expect(views.at(-1)!.revision).to.equal(revision);
    expect(evidence.at(-1)!.contact).to.equal(StoreContact.CONFIRMED);
  });

  it('ignores an older configuration of a peer', async () => {
    putDataCentre('a', 'out');
    const {task, views} = createFixture();
    await clock.advance(500);
    const view = views.at(-1);
    const learned = {revision: 1, dataCentresOut: []};
    task.post({kind: ConfigurationMessageKind.LEARN, learned});
    await clock.advance(0);
    expect(views.at(-1)).to.equal(view);
  });

  it('registers again after its lease has expired', async () => {
    createFixture();
    await clock.advance(500);
    store.endLease('lease-1');
    expect(store.read(ENTRY_KEY)).to.equal(undefined);
    await clock.advance(5000);
    expect(store.read(ENTRY_KEY)?.value).to.contain('first');
  });

  it('finds its registration after the reply of the write was lost', async () => {
    store.faults.lostReplies = 1;
    const {states} = createFixture();
    await clock.advance(1000);
    expect(states.at(-1)).to.equal(EntryRegistrationState.REGISTERED);
    expect(store.calls.write).to.equal(1);
  });

  it('replaces the registration of an older process with the same id', async () => {
    const older = createFixture('first');
    await clock.advance(500);
    const newer = createFixture('second');
    await clock.advance(5000);
    expect(store.read(ENTRY_KEY)?.value).to.contain('second');
    expect(newer.states.at(-1)).to.equal(EntryRegistrationState.REGISTERED);
    expect(older.states.at(-1)).to.equal(EntryRegistrationState.SUPERSEDED);
  });

  it('withdraws its registration on LEAVE and keeps watching', async () => {
    const {task, states} = createFixture();
    await clock.advance(500);
    task.post({kind: ConfigurationMessageKind.LEAVE});
    await clock.advance(100);
    expect(store.read(ENTRY_KEY)).to.equal(undefined);
    expect(states.at(-1)).to.equal(EntryRegistrationState.LEFT);
    expect(store.waiting).to.equal(1);
  });

  it('accepts no message after it has stopped', async () => {
    const {task} = createFixture();
    await clock.advance(500);
    await task.stop();
    expect(task.post({kind: ConfigurationMessageKind.LEAVE})).to.equal(
      PostOutcome.STOPPED,
    );
    expect(store.read(ENTRY_KEY)).to.equal(undefined);
  });
});
