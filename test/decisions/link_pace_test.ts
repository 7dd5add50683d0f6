import {expect} from 'chai';
import {
  computeOpeningLimit,
  computePause,
} from '../../src/lib/decisions/link_pace.js';

/** Plays attempts at a host that answers nothing until `upAtMs`. */
function computeLinkDelay(upAtMs: number): number {
  let nowMs = 0;
  while (nowMs < upAtMs) {
    const limitMs = computeOpeningLimit(nowMs);
    nowMs += limitMs;
    nowMs += computePause(nowMs);
  }
  return nowMs - upAtMs;
}

describe('The pace of a link to an entry that is away', () => {
  it('links within 200 ms of the return of hosts that lost power for 2 s', () => {
    for (let upAtMs = 0; upAtMs <= 600; upAtMs += 10) {
      expect(computeLinkDelay(upAtMs), `up at ${upAtMs}`).to.be.at.most(210);
    }
  });

  it('asks an entry that is gone less than once a second', () => {
    const eachMs = computeOpeningLimit(20_000) + computePause(20_000);
    expect(eachMs).to.be.at.least(2000);
  });
});
