import {expect} from 'chai';
import {FencingToken} from '../../src/lib/decisions/fencing_token.js';

const DAY_MS = 86_400_000;

describe('FencingToken', () => {
  it('is the time of the target at its first answer', () => {
    const token = FencingToken.create();
    token.set(5000);
    token.set(6000);
    expect(token.value).to.equal(5000);
    expect(token.isCurrent(5000)).to.equal(true);
  });

  it('rises with the next incarnation, whatever its time', () => {
    const token = FencingToken.create();
    token.set(5000);
    token.reset();
    expect(token.value).to.equal(0);
    expect(token.isCurrent(0)).to.equal(false);
    token.set(10);
    expect(token.value).to.be.above(5000);
  });

  it('rises by ever more while it is refused, up to a day', () => {
    const token = FencingToken.create();
    token.set(5000);
    for (let refusal = 0; refusal < 40; refusal += 1) token.raiseRefused(5000);
    const before = token.value;
    token.raiseRefused(5000);
    expect(token.value - before).to.be.within(DAY_MS, DAY_MS + 1);
    token.confirm();
    token.raiseRefused(5000);
    expect(token.value - before).to.be.below(DAY_MS + 10);
  });

  it('rises by one to fence off an unanswered call, if it is known', () => {
    const token = FencingToken.create();
    token.raiseFence();
    expect(token.value).to.equal(0);
    token.set(5000);
    token.raiseFence();
    expect(token.value).to.equal(5001);
  });

  it('stays below what a claimed incarnation would spoil for later agents', () => {
    const token = FencingToken.create();
    token.raiseClaim(0, Number.MAX_SAFE_INTEGER, 5000.5);
    expect(token.claimValue).to.equal(5000 + DAY_MS);
    expect(token.value).to.equal(0);
  });

  it('rises for a claimed incarnation only if its highest value is refused', () => {
    const token = FencingToken.create();
    token.set(5000);
    token.raiseClaim(4000, 9000, 9000);
    expect(token.claimValue).to.equal(5000);
    token.raiseClaim(5000, 0, 9000);
    expect(token.claimValue).to.equal(5001);
  });
});
