import {expect} from 'chai';
import {
  chooseFastest,
  chooseProbe,
  chooseShortestQueue,
  chooseSlowestInTime,
} from '../../src/lib/decisions/place_task.js';
import type {
  PlacementRequest,
  PlacementTarget,
} from '../../src/lib/decisions/place_task.js';

const NEED = {cpuMilli: 6000, memoryMb: 100, accelerators: 0};
const CAPACITY = {cpuMilli: 60_000, memoryMb: 10_000, accelerators: 0};
const FULL = {cpuMilli: 0, memoryMb: 10_000, accelerators: 0};

function createTarget(changes: Partial<PlacementTarget>): PlacementTarget {
  const agent = changes.agent ?? 'agent';
  return {
    agent,
    life: `life of ${agent}`,
    labels: ['a', 'r1'],
    free: CAPACITY,
    capacity: CAPACITY,
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
      need: NEED,
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

const FAST = createTarget({agent: 'fast', slowness: 0.6});
const SLOW = createTarget({agent: 'slow', slowness: 1.7});
const TARGETS = [SLOW, FAST];

describe('chooseFastest', () => {
  it('chooses the target on which the run ends first', () => {
    expect(chooseFastest(createRequest(), TARGETS)?.agent).to.equal('fast');
  });

  it('accounts for the distance to the data', () => {
    const near = createTarget({
      agent: 'near',
      labels: ['b', 'r2'],
      slowness: 1,
    });
    const far = createTarget({agent: 'far', slowness: 0.8});
    const request = createRequest();
    const spec = {...request.spec, preferredRack: 'r2'};
    expect(chooseFastest({...request, spec}, [far, near])?.agent).to.equal(
      'near',
    );
  });
});

describe('chooseSlowestInTime', () => {
  it('leaves the fast target to work that needs it', () => {
    expect(chooseSlowestInTime(createRequest(), TARGETS)?.agent).to.equal(
      'slow',
    );
  });

  it('chooses the fastest target if time is short', () => {
    const request = createRequest({timeLeftMs: 90});
    expect(chooseSlowestInTime(request, TARGETS)?.agent).to.equal('fast');
  });

  it('excludes targets that are full, unlabelled, suspect or failed before', () => {
    const request = createRequest({excludedTargets: new Set([FAST.life])});
    const spec = {...request.spec, requiredLabel: 'a'};
    const targets = [
      FAST,
      createTarget({agent: 'full', free: FULL}),
      createTarget({agent: 'unlabelled', labels: ['b']}),
      createTarget({agent: 'suspect', isSuspect: true}),
    ];
    expect(chooseSlowestInTime({...request, spec}, targets)).to.equal(
      undefined,
    );
  });

  it('respects the limit of tasks on one target', () => {
    const request = createRequest({
      countOn: agent => (agent === 'slow' ? 2 : 0),
    });
    const spec = {...request.spec, perTargetAtMost: 2};
    expect(chooseSlowestInTime({...request, spec}, TARGETS)?.agent).to.equal(
      'fast',
    );
  });
});

describe('chooseShortestQueue', () => {
  it('chooses the full target of least backlog, up to a share of its capacity', () => {
    const behind = createTarget({
      agent: 'behind',
      free: {...FULL, cpuMilli: -6000},
    });
    const full = createTarget({agent: 'full', free: FULL});
    expect(
      chooseShortestQueue(createRequest(), [behind, full])?.agent,
    ).to.equal('full');
    const far = createTarget({agent: 'far', free: {...FULL, cpuMilli: -9000}});
    expect(chooseShortestQueue(createRequest(), [far])).to.equal(undefined);
  });
});

describe('chooseProbe', () => {
  it('chooses a suspect target that offers capacity', () => {
    const probe = createTarget({agent: 'probe', isSuspect: true});
    const paused = createTarget({agent: 'paused', isSuspect: true, free: FULL});
    expect(chooseProbe(createRequest(), [FAST, paused, probe])?.agent).to.equal(
      'probe',
    );
  });
});

describe('chooseSlowestInTime among targets of similar speed', () => {
  // An agent starts the eight tasks of a search one after another.
  it('spreads the tasks of a job', () => {
    const targets = [1.5, 1.55, 1.6].map((slowness, at) =>
      createTarget({agent: `a${at}`, slowness}),
    );
    const counts = new Map<string, number>();
    for (let task = 0; task < 6; task += 1) {
      const agent = chooseSlowestInTime(createRequest(), targets)?.agent ?? '';
      counts.set(agent, (counts.get(agent) ?? 0) + 1);
      const at = targets.findIndex(target => target.agent === agent);
      const {free} = targets[at];
      targets[at] = {
        ...targets[at],
        free: {...free, cpuMilli: free.cpuMilli - NEED.cpuMilli},
      };
    }
    expect([...counts.values()]).to.deep.equal([2, 2, 2]);
  });
});
