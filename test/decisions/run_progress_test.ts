import {expect} from 'chai';
import {RunState} from '../../src/lib/decisions/held_run.js';
import type {HeldRun} from '../../src/lib/decisions/held_run.js';
import {
  estimateRatio,
  SlownessMeter,
} from '../../src/lib/decisions/run_progress.js';

function listByJob(ratios: readonly number[]): ReadonlyMap<string, number> {
  return new Map(ratios.map((ratio, at) => [`job-${at}`, ratio]));
}

function createRun(percent: number, acceptedAtMs: number): HeldRun {
  return {
    order: {estimateMs: 300},
    state: RunState.RUNNING,
    percent,
    acceptedAtMs,
  } as HeldRun;
}

describe('The slowness of a target', () => {
  it('is estimated from the progress of a run', () => {
    expect(estimateRatio(createRun(50, 0), 150)).to.equal(1);
    expect(estimateRatio(createRun(10, 0), 180)).to.be.closeTo(6, 1e-9);
    expect(estimateRatio(createRun(0, 0), 180)).to.equal(undefined);
    expect(estimateRatio(createRun(20, 0), 50)).to.equal(undefined);
  });

  // A target becomes six times slower for some seconds.
  it('follows a target that becomes slow before any run has ended there', () => {
    const meter = SlownessMeter.create();
    for (let run = 0; run < 20; run += 1) meter.record(300, 300);
    meter.recordProgress(listByJob([6, 7, 5.5]));
    expect(meter.factor).to.equal(6);
    meter.recordProgress(listByJob([1, 1.1, 0.9]));
    expect(meter.factor).to.equal(1);
  });

  it('relies on the ends of runs while progress agrees with them', () => {
    const meter = SlownessMeter.create();
    for (let run = 0; run < 50; run += 1) meter.record(480, 300);
    const before = meter.factor;
    meter.recordProgress(listByJob([1.2, 2, 1.4]));
    meter.recordProgress(listByJob([9, 9]));
    expect(meter.factor).to.equal(before);
  });

  // A target that is avoided as slow has no runs that would show its recovery.
  it('decays while nothing runs there', () => {
    const meter = SlownessMeter.create();
    meter.recordProgress(listByJob([6, 6, 6]));
    for (let at = 0; at < 60; at += 1) meter.forgetSlowness(50);
    expect(meter.factor).to.be.below(1.3);
  });
});
