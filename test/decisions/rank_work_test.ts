import {expect} from 'chai';
import {computeTiming} from '../../src/lib/decisions/job_timing.js';
import {
  judgeFeasibility,
  Feasibility,
  rankJob,
} from '../../src/lib/decisions/rank_work.js';
import type {QueueRule} from '../../src/lib/core/fleet_configuration.js';
import type {StepSpec} from '../../src/lib/core/work_job.js';

const RULE: QueueRule = {
  name: 'q',
  host: 'h',
  prefix: '/',
  service: 's',
  priority: 0,
  attemptsAtMost: 3,
  stretch: 1.6,
  allowanceMs: 60,
};

function createStep(
  estimateMs: number,
  after: readonly number[] = [],
): StepSpec {
  return {
    count: 1,
    need: {cpuMilli: 1000, memoryMb: 1, accelerators: 0},
    estimateMs,
    after,
    requiredLabel: '',
    preferredRack: '',
    perTargetAtMost: 0,
  };
}

function createJob(estimateMs: number, receivedAtMs: number) {
  const steps = [createStep(estimateMs)];
  return {timing: computeTiming(steps, RULE, receivedAtMs, 3000)};
}

describe('computeTiming', () => {
  it('uses the critical path of the steps', () => {
    const steps = [createStep(100), createStep(50), createStep(30, [0])];
    const timing = computeTiming(steps, RULE, 0, 3000);
    expect(timing.criticalPathMs).to.equal(130);
    expect(timing.objectiveMs).to.equal(1.6 * 130 + 60);
  });
});

describe('rankJob', () => {
  it('ranks short jobs with little slack before long ones', () => {
    const search = createJob(86, 0);
    const booking = createJob(1286, 0);
    expect(rankJob(search, 1, 1)).to.be.below(rankJob(booking, 1, 1));
  });

  it('ranks new jobs before a second of late jobs after an outage', () => {
    const nowMs = 1000;
    const late = Array.from({length: 50}, (_, at) => createJob(86, at * 10));
    const fresh = createJob(86, nowMs);
    const ranks = late.map(job => rankJob(job, nowMs, 1));
    expect(Math.min(...ranks)).to.be.above(rankJob(fresh, nowMs, 1));
  });

  it('ranks jobs whose answer is worthless last', () => {
    expect(judgeFeasibility(createJob(86, 0), 1000, 1)).to.equal(
      Feasibility.WORTHLESS,
    );
    expect(judgeFeasibility(createJob(86, 0), 200, 1)).to.equal(
      Feasibility.LATE,
    );
    expect(judgeFeasibility(createJob(86, 0), 0, 1)).to.equal(
      Feasibility.IN_TIME,
    );
  });

  it('takes slow targets into account', () => {
    expect(judgeFeasibility(createJob(86, 0), 40, 1)).to.equal(
      Feasibility.IN_TIME,
    );
    expect(judgeFeasibility(createJob(86, 0), 40, 1.7)).to.equal(
      Feasibility.LATE,
    );
  });
});
