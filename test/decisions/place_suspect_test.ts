import {expect} from 'chai';
import {chooseLeastUsed} from '../../src/lib/decisions/place_suspect.js';
import type {
  PlacementRequest,
  PlacementTarget,
} from '../../src/lib/decisions/place_task.js';

const CAPACITY = {cpuMilli: 10_000, memoryMb: 1000, accelerators: 0};

const REQUEST: PlacementRequest = {
  spec: {
    count: 1,
    need: {cpuMilli: 1000, memoryMb: 1, accelerators: 0},
    estimateMs: 50,
    after: [],
    requiredLabel: '',
    preferredRack: '',
    perTargetAtMost: 0,
  },
  timeLeftMs: 100,
  excludedTargets: new Set(),
  countOn: () => 0,
  farFactor: 1,
};

function createTarget(
  agent: string,
  freeMilli: number,
  changes: Partial<PlacementTarget> = {},
): PlacementTarget {
  return {
    agent,
    life: `${agent}-life`,
    labels: [],
    free: {...CAPACITY, cpuMilli: freeMilli},
    capacity: CAPACITY,
    slowness: 1,
    isSuspect: false,
    ...changes,
  };
}

// Guards against a suspect task that takes many runs down with its next target.
describe('chooseLeastUsed', () => {
  it('chooses the target with the least in use', () => {
    const targets = [createTarget('a', 6000), createTarget('b', 9000)];
    expect(chooseLeastUsed(REQUEST, targets)?.agent).to.equal('b');
  });

  it('chooses none while all have much to lose', () => {
    const targets = [createTarget('a', 4000), createTarget('b', 3000)];
    expect(chooseLeastUsed(REQUEST, targets)).to.equal(undefined);
  });

  it('leaves out targets that are themselves suspect', () => {
    const targets = [createTarget('a', 10_000, {isSuspect: true})];
    expect(chooseLeastUsed(REQUEST, targets)).to.equal(undefined);
  });
});
