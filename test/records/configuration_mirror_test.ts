import {expect} from 'chai';
import fc from 'fast-check';
import {StoreChangeKind} from '../../src/lib/store/platform_store.js';
import type {
  StoreChange,
  StoreSnapshot,
} from '../../src/lib/store/platform_store.js';
import {
  applySnapshot,
  applyWatch,
  createMirror,
  applyPeerConfiguration,
} from '../../src/lib/records/configuration_mirror.js';
import type {ConfigurationMirror} from '../../src/lib/records/configuration_mirror.js';
import {RecordKind} from '../../src/lib/records/record.js';
import {SEED} from '../decisions/seeded_random.js';
import {formatTestRecord} from '../fakes/test_records.js';

const PREFIX = '/f/';
const RUNS = 500;
const NAMES = ['a', 'b', 'c'];

/** One write in the store's history; its position is the revision. */
interface Write {
  readonly name: string;
  readonly service: 'in' | 'out' | 'deleted';
}

/** One update received by an entry; the numbers select revisions of the history. */
interface Arrival {
  readonly kind: 'list' | 'watch' | 'peer';
  readonly from: number;
  readonly to: number;
}

function listOut(history: readonly Write[], revision: number): string[] {
  const current = new Map<string, string>();
  for (const {name, service} of history.slice(0, revision)) {
    current.set(name, service);
  }
  return NAMES.filter(name => current.get(name) === 'out');
}

function toChange({name, service}: Write, index: number): StoreChange {
  const isDeleted = service === 'deleted';
  return {
    kind: isDeleted ? StoreChangeKind.DELETED : StoreChangeKind.WRITTEN,
    key: `${PREFIX}records/data-centre/${name}`,
    value: isDeleted
      ? ''
      : formatTestRecord({kind: RecordKind.DATA_CENTRE, name}, {service}),
    revision: index + 1,
  };
}

function buildSnapshot(
  history: readonly Write[],
  revision: number,
): StoreSnapshot {
  const values = new Map<string, StoreChange>();
  for (const change of history.slice(0, revision).map(toChange)) {
    if (change.kind === StoreChangeKind.DELETED) values.delete(change.key);
    else values.set(change.key, change);
  }
  return {revision, values: [...values.values()]};
}

function applyArrival(
  mirror: ConfigurationMirror,
  history: readonly Write[],
  {kind, from, to}: Arrival,
): ConfigurationMirror {
  const revision = Math.min(to, history.length);
  if (kind === 'list') {
    return applySnapshot(mirror, buildSnapshot(history, revision)).mirror;
  }
  if (kind === 'peer') {
    const dataCentresOut = listOut(history, revision);
    return applyPeerConfiguration(mirror, {revision, dataCentresOut});
  }
  // A watch is answered from the entry's revision or an older one, so that it may
  // repeat changes.
  const after = Math.min(from, mirror.revision);
  const changes = history.map(toChange).slice(after, revision);
  return applyWatch(mirror, {revision, changes, isCompacted: false}).mirror;
}

const WRITES = fc.array(
  fc.record<Write>({
    name: fc.constantFrom(...NAMES),
    service: fc.constantFrom('in', 'out', 'deleted'),
  }),
  {maxLength: 20},
);
const ARRIVALS = fc.array(
  fc.record<Arrival>({
    kind: fc.constantFrom('list', 'watch', 'peer'),
    from: fc.nat(20),
    to: fc.nat(20),
  }),
  {maxLength: 30},
);

describe('The configuration mirror', () => {
  it('never goes back to an older revision and always equals one revision of the store', () => {
    const property = fc.property(WRITES, ARRIVALS, (history, arrivals) => {
      let mirror = createMirror(PREFIX);
      for (const arrival of arrivals) {
        const before = mirror.view.revision;
        mirror = applyArrival(mirror, history, arrival);
        const {revision, dataCentresOut} = mirror.view;
        expect(revision).to.be.at.least(before);
        expect(dataCentresOut).to.deep.equal(listOut(history, revision));
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});
