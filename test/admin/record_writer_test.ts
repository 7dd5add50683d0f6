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

/** Fault or concurrent event around one store call of the writer. */
enum Fault {
  NONE = 'none',
  UNAVAILABLE = 'unavailable',
  LOST_REPLY = 'lost-reply',
  LOST_WRITE = 'lost-write',
  DELAYED_WRITE = 'delayed-write',
  DELAYED_WRITES_APPLIED = 'delayed-writes-applied',
  STALE = 'stale',
  CONCURRENT_WRITE = 'concurrent-write',
  CONCURRENT_REMOVAL = 'concurrent-removal',
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

/** Injects the faults in order, one before each call, then none. */
function createFaultyStore(
  store: MemoryStore,
  faults: readonly Fault[],
): RecordWriterStore {
  const client = store.createClient();
  const otherWriter = createWriter(client);
  let next = 0;
  const applyNextFault = async () => {
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
      case Fault.DELAYED_WRITES_APPLIED:
        store.applyDelayedWrites();
        break;
      case Fault.STALE:
        store.faults.staleRevision = Math.max(0, store.revision - 1);
        break;
      case Fault.CONCURRENT_WRITE:
        await otherWriter.change(createChange(`other-${next}`));
        break;
      case Fault.CONCURRENT_REMOVAL:
        await otherWriter.change(createChange('', true));
        break;
    }
  };
  return {
    list: async prefix => {
      await applyNextFault();
      return client.list(prefix);
    },
    write: async write => {
      await applyNextFault();
      return client.write(write);
    },
    remove: async (key, expected) => {
      await applyNextFault();
      return client.remove(key, expected);
    },
  };
}

function listOwnRevisions(store: MemoryStore): number[] {
  return store.changes
    .filter(({value}) => parseEnvelope(value)?.writeId === OWN_ID)
    .map(change => change.revision);
}

function checkResult(result: WriteResult, revisions: readonly number[]): void {
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
  it('never makes a change twice and never reports a change as not made that was made', async () => {
    const faults = fc.array(fc.constantFrom(...Object.values(Fault)), {
      maxLength: 12,
    });
    const property = fc.asyncProperty(faults, async drawn => {
      const store = MemoryStore.create();
      const writer = createWriter(createFaultyStore(store, drawn));
      const result = await writer.change(createChange(OWN_ID));
      store.applyDelayedWrites();
      checkResult(result, listOwnRevisions(store));
    });
    await fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('distinguishes a write that is still in flight from a conflict', async () => {
    const store = MemoryStore.create();
    const faults = [
      Fault.NONE,
      Fault.DELAYED_WRITE,
      Fault.DELAYED_WRITES_APPLIED,
    ];
    const writer = createWriter(createFaultyStore(store, faults));
    const result = await writer.change(createChange(OWN_ID));
    expect(result).to.deep.equal({
      isStored: true,
      revision: 1,
      isChanged: true,
    });
  });

  it('does not create a record again that another writer has deleted', async () => {
    const store = MemoryStore.create();
    const faults = [
      Fault.NONE,
      Fault.DELAYED_WRITE,
      Fault.NONE,
      Fault.DELAYED_WRITES_APPLIED,
      Fault.CONCURRENT_REMOVAL,
    ];
    const writer = createWriter(createFaultyStore(store, faults));
    await writer.change(createChange(OWN_ID));
    expect(listOwnRevisions(store)).to.have.length(1);
  });

  it('reports a conflict when another writer replaced the record after a lost write', async () => {
    const store = MemoryStore.create();
    const faults = [
      Fault.CONCURRENT_WRITE,
      Fault.LOST_WRITE,
      Fault.CONCURRENT_WRITE,
    ];
    const writer = createWriter(createFaultyStore(store, faults));
    const result = await writer.change(createChange(OWN_ID));
    expect(result.isStored).to.equal(false);
    expect(!result.isStored && result.refusal.problem).to.equal(
      AdministrationProblem.CONFLICT,
    );
  });
});
