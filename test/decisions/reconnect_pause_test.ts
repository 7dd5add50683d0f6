import {expect} from 'chai';
import {
  computeConnectTimeout,
  computeReconnectPause,
} from '../../src/lib/decisions/reconnect_pause.js';

/** Simulates connection attempts to a host that does not respond before `upAtMs`. */
function computeLinkDelay(upAtMs: number): number {
  let nowMs = 0;
  while (nowMs < upAtMs) {
    const timeoutMs = computeConnectTimeout(nowMs);
    nowMs += timeoutMs;
    nowMs += computeReconnectPause(nowMs);
  }
  return nowMs - upAtMs;
}

describe('Reconnecting to an unreachable entry', () => {
  it('connects within 200 ms of the return of hosts that lost power for 2 s', () => {
    for (let upAtMs = 0; upAtMs <= 600; upAtMs += 10) {
      expect(computeLinkDelay(upAtMs), `up at ${upAtMs}`).to.be.at.most(210);
    }
  });

  it('tries an entry that stays unreachable less than once a second', () => {
    const eachMs =
      computeConnectTimeout(20_000) + computeReconnectPause(20_000);
    expect(eachMs).to.be.at.least(2000);
  });
});
