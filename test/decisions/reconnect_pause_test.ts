import {expect} from 'chai';
import {
  computeConnectTimeout,
  computeReconnectPause,
} from '../../src/lib/decisions/reconnect_pause.js';

/** Plays attempts at a host that answers nothing until `upAtMs`. */
function computeLinkDelay(upAtMs: number): number {
  let nowMs = 0;
  while (nowMs < upAtMs) {
    const limitMs = computeConnectTimeout(nowMs);
    nowMs += limitMs;
    nowMs += computeReconnectPause(nowMs);
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
    const eachMs =
      computeConnectTimeout(20_000) + computeReconnectPause(20_000);
    expect(eachMs).to.be.at.least(2000);
  });
});
