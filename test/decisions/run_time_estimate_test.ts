import {expect} from 'chai';
import {
  estimateRunMs,
  FIRST_ESTIMATE,
  recordObservation,
} from '../../src/lib/decisions/run_time_estimate.js';
import {createRandom, SEED} from './seeded_random.js';

function learn(
  declare: (runMs: number, draw: number) => number,
): (declaredMs: number) => number {
  const random = createRandom(SEED);
  let estimate = FIRST_ESTIMATE;
  for (let index = 0; index < 5000; index += 1) {
    const runMs = 50 * Math.pow(20, random());
    estimate = recordObservation(estimate, declare(runMs, random()), runMs);
  }
  return declaredMs => estimateRunMs(estimate, declaredMs);
}

describe('RunTimeEstimate', () => {
  it('weighs a declaration by half before any task has ended', () => {
    expect(estimateRunMs(FIRST_ESTIMATE, 300)).to.be.closeTo(300, 1);
    expect(estimateRunMs(FIRST_ESTIMATE, 30_000)).to.be.closeTo(3000, 1);
  });

  it('corrects a class that always declares a tenth', () => {
    const estimate = learn(runMs => runMs / 10);
    expect(estimate(20) / 200).to.be.within(0.8, 1.25);
  });

  it('uses the class mean if declarations are uninformative', () => {
    const estimate = learn((_, draw) => 5 * Math.pow(2000, draw));
    const mean = (50 * 19) / Math.log(20);
    expect(estimate(5) / mean).to.be.within(0.6, 1.6);
    expect(estimate(10_000) / mean).to.be.within(0.6, 1.6);
  });

  it('preserves the order of declarations that are wrong by up to ten times', () => {
    const estimate = learn((runMs, draw) => runMs * Math.pow(100, draw - 0.5));
    expect(estimate(5000)).to.be.above(estimate(50) * 1.5);
    expect(estimate(10_000)).to.be.below(2000);
  });
});
