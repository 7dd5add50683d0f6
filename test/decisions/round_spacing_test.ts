import {expect} from 'chai';
import {computeRoundSpacing} from '../../src/lib/decisions/round_spacing.js';

// Overload: each of 2,000 messages a second began a round that ranked all waiting
// jobs.
describe('The spacing of rounds of placement', () => {
  it('bounds the jobs ranked per second while the backlog grows', () => {
    for (const waiting of [10, 100, 400]) {
      const rounds = Math.min(2000, 1000 / computeRoundSpacing(waiting));
      expect(rounds * waiting, `${waiting} jobs`).to.be.at.most(20_000);
    }
  });

  it('never delays a round by more than 20 ms', () => {
    expect(computeRoundSpacing(1e6)).to.be.at.most(20);
  });

  it('does not delay the placement of a few jobs by a millisecond', () => {
    expect(computeRoundSpacing(10)).to.be.below(1);
  });
});
