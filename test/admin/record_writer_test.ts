import {expect} from 'chai';
import fc from 'fast-check';
import {AdministrationProblem} from '../../src/lib/admin/administration_problem.js';
import {RecordWriter} from '../../src/lib/admin/record_writer.js';
import type {WriteResult} from '../../src/lib/admin/record_writer.js';
import {PreconditionKind} from '../../src/lib/admin/write_plan.js';
import type {RecordChange} from '../../src/lib/admin/write_plan.js';
import {ErrorCode} from '../../src/lib/core/errors.js';
import type {PlatformStore} from '../../src/lib/store/platform_store.js';
import {parseEnvelope} from '../../src/lib/records/record_body.js';
import {RecordKind} from '../../src/lib/records/record.js';
import {SEED} from '../decisions/seeded_random.js';
import {MemoryStore, createStoreError} from '../fakes/memory_store.js';

const RUNS = 2000;
const PREFIX = '/f/';
const OWN_ID = 'own-write';
const IDENTITY = {kind: RecordKind.DATA_CENTRE, name: 'a'};

/** What happens around one call of the writer to the store. */
enum Fault {
  NONE = 'none',
  UNAVAILABLE = 'unavailable',
  LOST_REPLY = 'lost-reply',
  LOST_WRITE = 'lost-write',
  DELAYED_WRITE = 'delayed-write',
  LATE_WRITES_LAND = 'late-writes-land',
  STALE = 'stale',
  RIVAL_WRITES = 'rival-writes',
  RIVAL_REMOVES = 'rival-removes',
}

function createChange(writeId: string, isRemoval = false): RecordChange {
  const spec = {service: 'out'};
  return {
    identity: IDENTITY,
    version: isRemoval
      ? undefined
      : {schemaVersion: 1, writeId, by: 'test', spec},
    precondition: {kind: PreconditionKind.NONE, revision: 0},
  };
}

function createWriter(store: RecordWriterStore): RecordWriter {
  return RecordWriter.create({
    store,
    prefix: PREFIX,
    startTimer: (_delayMs, fire) => {
      queueMicrotask(fire);
      return () => undefined;
    },
    drawRandom: () => 0,
  });
}

type RecordWriterStore = Pick<PlatformStore, 'list' | 'write' | 'remove'>;

/** Lets one fault happen before each call, in order; then none. */
function createFaultyStore(
  store: MemoryStore,
  faults: readonly Fault[],
): RecordWriterStore {
  const client = store.createClient();
  const rival = createWriter(client);
  let next = 0;
  const perform = async () => {
    store.faults.staleRevision = undefined;
    const fault = faults[next] ?? Fault.NONE;
    next += 1;
    switch (fault) {
      case Fault.NONE:
        break;
      case Fault.UNAVAILABLE:
        throw createStoreError(ErrorCode.STORE_UNAVAILABLE);
      case Fault.LOST_REPLY:
        store.faults.lostReplies = 1;
        break;
      case Fault.LOST_WRITE:
        store.faults.lostWrites = 1;
        break;
      case Fault.DELAYED_WRITE:
        store.faults.delayedWrites = 1;
        break;
      case Fault.LATE_WRITES_LAND:
        store.executeLateWrites();
        break;
      case Fault.STALE:
        store.faults.staleRevision = Math.max(0, store.revision - 1);
        break;
      case Fault.RIVAL_WRITES:
        await rival.change(createChange(`rival-${next}`));
        break;
      case Fault.RIVAL_REMOVES:
        await rival.change(createChange('', true));
        break;
    }
  };
  return {
    list: async prefix => {
      await perform();
      return client.list(prefix);
    },
    write: async write => {
      await perform();
      return client.write(write);
    },
    remove: async (key, expected) => {
      await perform();
      return client.remove(key, expected);
    },
  };
}

function listOwnRevisions(store: MemoryStore): number[] {
  return store.changes
    .filter(({value}) => parseEnvelope(value)?.writeId === OWN_ID)
    .map(change => change.revision);
}

function checkTruth(result: WriteResult, revisions: readonly number[]): void {
  expect(revisions.length).to.be.at.most(1);
  if (result.isStored) {
    expect(revisions).to.deep.equal([result.revision]);
    return;
  }
  if (result.refusal.problem !== AdministrationProblem.OUTCOME_UNKNOWN) {
    expect(revisions).to.deep.equal([]);
  }
}

describe('RecordWriter', () => {
  it('never makes a change twice and never denies one that was made', async () => {
    const faults = fc.array(fc.constantFrom(...Object.values(Fault)), {
      maxLength: 12,
    });
    const property = fc.asyncProperty(faults, async drawn => {
      const store = MemoryStore.create();
      const writer = createWriter(createFaultyStore(store, drawn));
      const result = await writer.change(createChange(OWN_ID));
      store.executeLateWrites();
      checkTruth(result, listOwnRevisions(store));
    });
    await fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('tells a write that is still on its way from a conflict', async () => {
    const store = MemoryStore.create();
    const faults = [Fault.NONE, Fault.DELAYED_WRITE, Fault.LATE_WRITES_LAND];
    const writer = createWriter(createFaultyStore(store, faults));
    const result = await writer.change(createChange(OWN_ID));
    expect(result).to.deep.equal({
      isStored: true,
      revision: 1,
      isChanged: true,
    });
  });

  it('does not create a record again that a rival has deleted', async () => {
    const store = MemoryStore.create();
    const faults = [
      Fault.NONE,
      Fault.DELAYED_WRITE,
      Fault.NONE,
      Fault.LATE_WRITES_LAND,
      Fault.RIVAL_REMOVES,
    ];
    const writer = createWriter(createFaultyStore(store, faults));
    await writer.change(createChange(OWN_ID));
    expect(listOwnRevisions(store)).to.have.length(1);
  });

  it('says conflict when a rival took the place of a lost write', async () => {
    const store = MemoryStore.create();
    const faults = [Fault.RIVAL_WRITES, Fault.LOST_WRITE, Fault.RIVAL_WRITES];
    const writer = createWriter(createFaultyStore(store, faults));
    const result = await writer.change(createChange(OWN_ID));
    expect(result.isStored).to.equal(false);
    expect(!result.isStored && result.refusal.problem).to.equal(
      AdministrationProblem.CONFLICT,
    );
  });
});
