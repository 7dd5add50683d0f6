import {expect} from 'chai';
import {KnownTargetKinds} from '../../src/lib/decisions/known_target_kinds.js';
import type {TargetKind} from '../../src/lib/core/work_frames.js';
import type {StepSpec} from '../../src/lib/core/work_job.js';

const KIND: TargetKind = {
  service: 'runner',
  labels: ['a', 'r1'],
  capacity: {cpuMilli: 16_000, memoryMb: 1000, accelerators: 0},
};

function createStep(cpuMilli: number, requiredLabel = ''): StepSpec {
  return {
    count: 1,
    need: {cpuMilli, memoryMb: 64, accelerators: 0},
    estimateMs: 100,
    after: [],
    requiredLabel,
    preferredRack: '',
    perTargetAtMost: 0,
  };
}

// Guards against a job that is failed for good as too large because the capacity of
// the targets has shrunk for a while, or because the targets that fit are down.
describe('KnownTargetKinds', () => {
  let kinds: KnownTargetKinds;

  beforeEach(() => {
    kinds = KnownTargetKinds.create(2);
    kinds.record(KIND, 0);
  });

  function lower(kind: TargetKind): TargetKind {
    return {...kind, capacity: {...kind.capacity, cpuMilli: 6000}};
  }

  it('keeps the largest capacity of a kind', () => {
    kinds.record(lower(KIND), 10);
    expect(kinds.list()).to.deep.equal([KIND]);
    expect(kinds.hasCapacityFor('runner', createStep(6200))).to.equal(true);
    expect(kinds.hasCapacityFor('runner', createStep(16_001))).to.equal(false);
  });

  it('tells kinds apart by service and labels, whatever their order', () => {
    kinds.record({...lower(KIND), labels: ['r1', 'a']}, 1);
    expect(kinds.list()).to.have.lengthOf(1);
    kinds.record({...lower(KIND), labels: ['b']}, 2);
    expect(kinds.hasCapacityFor('runner', createStep(6200, 'b'))).to.equal(
      false,
    );
    expect(kinds.hasCapacityFor('runner', createStep(6200, 'a'))).to.equal(
      true,
    );
    expect(kinds.hasCapacityFor('other', createStep(1))).to.equal(false);
  });

  it('does not record a target of which nothing is known', () => {
    kinds.record({...KIND, service: ''}, 1);
    expect(kinds.list()).to.deep.equal([KIND]);
  });

  it('forgets the kind recorded least recently if there are too many', () => {
    const second = {...KIND, service: 'second'};
    const third = {...KIND, service: 'third'};
    kinds.record(second, 1);
    kinds.record(KIND, 2);
    kinds.record(third, 3);
    expect(kinds.list()).to.deep.equal([KIND, third]);
  });

  it('forgets the kinds that were last recorded before a time', () => {
    const second = {...KIND, service: 'second'};
    kinds.record(second, 5);
    kinds.forgetBefore(5);
    expect(kinds.list()).to.deep.equal([second]);
  });
});
