import {expect} from 'chai';
import {
  CapacityFit,
  judgeAdmission,
} from '../../src/lib/decisions/admit_work.js';
import type {AdmissionInput} from '../../src/lib/decisions/admit_work.js';
import {JobReason} from '../../src/lib/core/work_job.js';

const IDLE: AdmissionInput = {
  requestedCores: 48,
  backlogMs: 0,
  cores: 800,
  freeCores: 700,
  slackMs: 110,
  fit: CapacityFit.NOW,
  hasTargets: true,
};

describe('judgeAdmission', () => {
  it('admits a job that fits the free capacity, however slow the targets are', () => {
    const verdict = judgeAdmission({...IDLE, backlogMs: 90_000, slackMs: 0});
    expect(verdict.reason).to.equal(JobReason.NONE);
  });

  it('admits a job whose slack covers the backlog', () => {
    const verdict = judgeAdmission({...IDLE, freeCores: 0, backlogMs: 80_000});
    expect(verdict.reason).to.equal(JobReason.NONE);
  });

  it('refuses a job that would be late, with a retry delay', () => {
    const verdict = judgeAdmission({...IDLE, freeCores: 0, backlogMs: 240_000});
    expect(verdict).to.deep.equal({
      reason: JobReason.OVERLOADED,
      waitMs: 300,
      retryAfterMs: 300,
    });
  });

  it('distinguishes a job that can never run from one that cannot run now', () => {
    const large = judgeAdmission({...IDLE, fit: CapacityFit.NEVER});
    expect(large.reason).to.equal(JobReason.TOO_LARGE);
    const withoutTargets = judgeAdmission({...IDLE, hasTargets: false});
    expect(withoutTargets.reason).to.equal(JobReason.NO_TARGET);
    expect(withoutTargets.retryAfterMs).to.be.above(0);
    const shrunk = judgeAdmission({...IDLE, fit: CapacityFit.LATER});
    expect(shrunk.reason).to.equal(JobReason.NO_TARGET);
    expect(shrunk.retryAfterMs).to.be.above(0);
  });

  it('refuses no job for good while no target accepts work', () => {
    const verdict = judgeAdmission({
      ...IDLE,
      fit: CapacityFit.NEVER,
      hasTargets: false,
    });
    expect(verdict.reason).to.equal(JobReason.NO_TARGET);
  });
});
