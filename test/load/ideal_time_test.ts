import {expect} from 'chai';
import {computeIdealMs, listActiveRuns} from '../../tools/load/ideal_time.js';
import type {IdealTarget, RecordedRun} from '../../tools/load/ideal_time.js';

const TARGET: IdealTarget = {
  slots: 2,
  slowness: 1,
  networkMs: 0,
  isInService: () => true,
};

function describeRun(target: number, startMs: number, endMs: number) {
  return {job: 0, task: 0, target, startMs, endMs} satisfies RecordedRun;
}

describe('computeIdealMs', () => {
  it('equals the longest task if every task has a slot', () => {
    expect(computeIdealMs([10, 30], 0, [TARGET], [])).to.equal(30);
  });

  it('runs tasks one after another if slots are scarce', () => {
    expect(computeIdealMs([10, 20, 30], 0, [TARGET], [])).to.equal(30);
    expect(computeIdealMs([30, 30, 30], 0, [TARGET], [])).to.equal(60);
  });

  it('waits for slots occupied by other jobs', () => {
    const busy = [describeRun(0, 0, 150), describeRun(0, 0, 120)];
    expect(computeIdealMs([10], 100, [TARGET], busy)).to.equal(30);
  });

  it('prefers the faster target and excludes targets out of service', () => {
    const slow = {...TARGET, slowness: 4};
    const out = {...TARGET, isInService: () => false};
    expect(computeIdealMs([10, 10, 10], 0, [slow, TARGET], [])).to.equal(20);
    expect(computeIdealMs([10], 0, [slow, out], [])).to.equal(40);
    expect(computeIdealMs([10], 0, [out], [])).to.equal(Infinity);
  });
});

describe('listActiveRuns', () => {
  it('lists only the runs in progress', () => {
    const runs = [
      describeRun(0, 0, 10),
      describeRun(1, 5, 20),
      describeRun(2, 12, 30),
    ];
    const found = listActiveRuns(runs, 11, 100).map(run => run.target);
    expect(found).to.deep.equal([1]);
  });
});
