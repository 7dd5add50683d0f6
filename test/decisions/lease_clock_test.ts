import {expect} from 'chai';
import {LeaseClock} from '../../src/lib/decisions/lease_clock.js';

describe('LeaseClock', () => {
  it('estimates no later time than the slowest clock would show', () => {
    const clock = LeaseClock.create();
    clock.observe(1000, 50);
    expect(clock.estimate(150)).to.be.at.most(1000 + 100 * 0.98);
  });

  it('ignores a response that arrives out of order', () => {
    const clock = LeaseClock.create();
    clock.observe(1000, 50);
    clock.observe(900, 60);
    expect(clock.estimate(60)).to.be.at.least(1000);
  });

  it('estimates nothing before the first reading', () => {
    expect(LeaseClock.create().estimate(150)).to.equal(0);
  });

  it('computes the expiry by a clock that is 2 % slow', () => {
    const clock = LeaseClock.create();
    clock.observe(1000, 50);
    const deadlineMs = clock.extend(50, 800);
    expect(deadlineMs).to.equal(1800);
    expect(clock.computeExpiry()).to.be.above(50 + 800 / 0.98);
  });

  it('never moves the requested deadline back', () => {
    const clock = LeaseClock.create();
    clock.observe(1000, 50);
    clock.extend(60, 800);
    const expiryMs = clock.computeExpiry();
    clock.extend(60, 100);
    expect(clock.computeExpiry()).to.equal(expiryMs);
  });
});
