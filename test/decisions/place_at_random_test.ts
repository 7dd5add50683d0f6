import {expect} from 'chai';
import {createRandomChoice} from '../../src/lib/decisions/place_at_random.js';
import {chooseSlowestInTime} from '../../src/lib/decisions/place_task.js';
import type {
  ChooseTarget,
  PlacementRequest,
  PlacementTarget,
} from '../../src/lib/decisions/place_task.js';
import {createRandom, SEED} from './seeded_random.js';

const TASK_MILLI = 1700;
const CAPACITY_MILLI = 16_000;

function createResources(cpuMilli: number) {
  return {cpuMilli, memoryMb: 10_000, accelerators: 0};
}

function createTarget(changes: Partial<PlacementTarget>): PlacementTarget {
  return {
    agent: 'agent',
    life: `life of ${changes.agent ?? 'agent'}`,
    labels: ['a'],
    free: createResources(CAPACITY_MILLI),
    capacity: createResources(CAPACITY_MILLI),
    slowness: 1,
    isSuspect: false,
    ...changes,
  };
}

function createRequest(
  changes: Partial<PlacementRequest> = {},
): PlacementRequest {
  return {
    spec: {
      count: 1,
      need: createResources(TASK_MILLI),
      estimateMs: 100,
      after: [],
      requiredLabel: '',
      preferredRack: '',
      perTargetAtMost: 0,
    },
    timeLeftMs: 220,
    excludedTargets: new Set(),
    countOn: () => 0,
    farFactor: 1.5,
    ...changes,
  };
}

/** Targets of three speeds, two fifths of their capacity free. */
function createFleet(count: number): PlacementTarget[] {
  return Array.from({length: count}, (_, index) =>
    createTarget({
      agent: `agent-${index}`,
      slowness: [0.6, 1, 1.6][index % 3],
      free: createResources(CAPACITY_MILLI * (0.2 + 0.4 * ((index % 5) / 4))),
    }),
  );
}

/**
 * Lets entries place tasks on the same targets, each from the loads of the last
 * reports and its own orders; returns the share of orders that find no capacity.
 */
function placeFromStaleLoads(
  choose: ChooseTarget,
  entries: number,
  tasksEach: number,
): number {
  const fleet = createFleet(35);
  const free = new Map(fleet.map(target => [target.agent, target.free]));
  let misses = 0;
  for (let entry = 0; entry < entries; entry += 1) {
    const view = createFleet(35);
    for (let task = 0; task < tasksEach; task += 1) {
      const target = choose(createRequest(), view)!;
      const index = view.indexOf(target);
      view[index] = {...target, free: subtractTask(target.free.cpuMilli)};
      const left = free.get(target.agent)!.cpuMilli;
      if (left < TASK_MILLI) misses += 1;
      else free.set(target.agent, subtractTask(left));
    }
  }
  return misses / (entries * tasksEach);
}

function subtractTask(cpuMilli: number) {
  return createResources(cpuMilli - TASK_MILLI);
}

// Six entries read reports of 60 to 100 ms ago: on a model of 70 targets at 60 %
// of their capacity, 30 % of the orders to the target with the most free share
// found no capacity, and half of the searches were late.
describe('Random placement on stale loads', () => {
  const choose = createRandomChoice(createRandom(SEED));

  it('sends few orders to targets that other entries have filled meanwhile', () => {
    const share = placeFromStaleLoads(choose, 6, 8);
    const herding = placeFromStaleLoads(chooseSlowestInTime, 6, 8);
    expect(herding).to.be.above(0.3);
    expect(share).to.be.below(0.15);
  });

  it('prefers slower targets and those with more free capacity', () => {
    const counts = new Map<string, number>();
    const targets = [
      createTarget({agent: 'slow', slowness: 1.6}),
      createTarget({agent: 'fast', slowness: 0.6}),
      createTarget({agent: 'busy', free: createResources(CAPACITY_MILLI / 2)}),
      createTarget({agent: 'idle'}),
    ];
    for (let draw = 0; draw < 4000; draw += 1) {
      const agent = choose(createRequest(), targets)?.agent ?? '';
      counts.set(agent, (counts.get(agent) ?? 0) + 1);
    }
    const get = (agent: string) => counts.get(agent) ?? 0;
    expect(get('slow')).to.be.above(get('fast') * 2);
    expect(get('idle')).to.be.above(get('busy') * 3);
    expect(get('busy')).to.be.above(0);
  });

  it('chooses only targets that safely meet the objective', () => {
    const slow = createTarget({agent: 'slow', slowness: 2.1});
    const targets = [slow, createTarget({agent: 'safe'})];
    for (let draw = 0; draw < 100; draw += 1) {
      expect(choose(createRequest(), targets)?.agent).to.equal('safe');
    }
  });

  it('chooses among the fastest if none is safe but some may be in time', () => {
    const targets = [
      createTarget({agent: 'slow', slowness: 0.99}),
      createTarget({agent: 'fast', slowness: 0.6}),
    ];
    const request = createRequest({timeLeftMs: 62.5});
    expect(choose(request, targets)?.agent).to.equal('fast');
    const hopeless = createRequest({timeLeftMs: 50});
    expect(choose(hopeless, targets)).to.equal(undefined);
  });

  it('excludes targets that are full, unlabelled, suspect or failed before', () => {
    const request = createRequest({
      excludedTargets: new Set(['life of failed']),
    });
    const spec = {...request.spec, requiredLabel: 'a'};
    const targets = [
      createTarget({agent: 'failed'}),
      createTarget({agent: 'full', free: createResources(0)}),
      createTarget({agent: 'unlabelled', labels: ['b']}),
      createTarget({agent: 'suspect', isSuspect: true}),
    ];
    expect(choose({...request, spec}, targets)).to.equal(undefined);
  });

  it('chooses a full target for a task that needs no processor', () => {
    const target = createTarget({free: createResources(0)});
    const request = createRequest();
    const spec = {...request.spec, need: createResources(0)};
    expect(choose({...request, spec}, [target])).to.equal(target);
  });
});
