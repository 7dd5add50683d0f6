import {expect} from 'chai';
import fc from 'fast-check';
import {
  computeSlotShare,
  createRateBucket,
  decideRate,
} from '../../src/lib/decisions/team_limits.js';
import {SEED} from './seeded_random.js';

describe('computeSlotShare', () => {
  it('limits all entries together, or to one slot each', () => {
    const counts = fc.integer({min: 1, max: 5000});
    const property = fc.property(
      counts,
      fc.integer({min: 1, max: 20}),
      (limit, entries) => {
        const total = computeSlotShare(limit, entries) * entries;
        expect(total).to.be.at.most(Math.max(limit, entries));
      },
    );
    fc.assert(property, {seed: SEED});
  });

  it('treats 0 as no limit', () => {
    expect(computeSlotShare(0, 3)).to.equal(Infinity);
  });
});

describe('decideRate', () => {
  it('maintains the mean rate whatever the sizes of the jobs', () => {
    const sizes = fc.array(fc.integer({min: 1, max: 580}), {minLength: 50});
    const property = fc.property(sizes, jobs => {
      let bucket = createRateBucket(50, 0);
      let nowMs = 0;
      let admitted = 0;
      for (const tasks of jobs) {
        const answer = decideRate(bucket, tasks, 100, 2, nowMs);
        bucket = answer.bucket;
        if (answer.isAdmitted) admitted += tasks;
        nowMs += 100;
      }
      expect(admitted).to.be.at.most(50 + 580 + (50 * nowMs) / 1000);
    });
    fc.assert(property, {seed: SEED});
  });

  it('returns the delay until a submission can be admitted', () => {
    const first = decideRate(createRateBucket(50, 0), 100, 50, 1, 0);
    const second = decideRate(first.bucket, 1, 50, 1, 0);
    expect(second.isAdmitted).to.equal(false);
    const later = decideRate(second.bucket, 1, 50, 1, second.retryAfterMs);
    expect(later.isAdmitted).to.equal(true);
  });
});
