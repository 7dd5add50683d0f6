import {expect} from 'chai';
import {
  isNewerHeartbeat,
  limitHeartbeatClock,
} from '../../src/lib/decisions/heartbeat_order.js';

describe('isNewerHeartbeat', () => {
  it('goes by the sequence without a clock', () => {
    const latest = {sequence: 3, clockMs: undefined};
    expect(isNewerHeartbeat({sequence: 4, clockMs: 10}, latest)).to.be.true;
    expect(isNewerHeartbeat({sequence: 3, clockMs: 10}, latest)).to.be.false;
  });

  it('goes by the clock, then by the sequence', () => {
    const latest = {sequence: 3, clockMs: 100};
    expect(isNewerHeartbeat({sequence: 1, clockMs: 101}, latest)).to.be.true;
    expect(isNewerHeartbeat({sequence: 9, clockMs: 99}, latest)).to.be.false;
    expect(isNewerHeartbeat({sequence: 4, clockMs: 100}, latest)).to.be.true;
    expect(isNewerHeartbeat({sequence: 3, clockMs: 100}, latest)).to.be.false;
  });

  it('ignores one without a clock after one with a clock', () => {
    const latest = {sequence: 3, clockMs: 100};
    const next = {sequence: 9, clockMs: undefined};
    expect(isNewerHeartbeat(next, latest)).to.be.false;
  });
});

describe('limitHeartbeatClock', () => {
  it('lets a true heartbeat follow one from the future', () => {
    const forged = {sequence: 2 ** 40, clockMs: 2 ** 40};
    const latest = limitHeartbeatClock(forged, 5000);
    expect(isNewerHeartbeat({sequence: 2, clockMs: 5001}, latest)).to.be.true;
  });

  it('keeps a clock that the target has reached, and none', () => {
    const sent = {sequence: 1, clockMs: 4000};
    expect(limitHeartbeatClock(sent, 5000)).to.deep.equal(sent);
    const unclocked = {sequence: 1, clockMs: undefined};
    expect(limitHeartbeatClock(unclocked, 5000)).to.deep.equal(unclocked);
  });
});
