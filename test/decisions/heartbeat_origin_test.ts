import {expect} from 'chai';
import {HeartbeatOriginCheck} from '../../src/lib/decisions/heartbeat_origin.js';

const PERIOD_MS = 1500;
const TARGET = {service: 'runner', dataCentre: 'zone-a'};
const OTHER = {service: 'unknown', dataCentre: 'zone-a'};

describe('HeartbeatOriginCheck', () => {
  let check: HeartbeatOriginCheck;

  beforeEach(() => {
    check = HeartbeatOriginCheck.create();
    check.reset(0);
  });

  it('rejects another origin, however often, while the known one is heard', () => {
    for (let nowMs = 10; nowMs < 10 * PERIOD_MS; nowMs += 10) {
      expect(check.admit(OTHER, TARGET, nowMs)).to.be.false;
      if (nowMs % PERIOD_MS === 0) {
        expect(check.admit(TARGET, TARGET, nowMs)).to.be.true;
      }
    }
  });

  it('admits another origin once the known one is silent', () => {
    expect(check.admit(TARGET, OTHER, PERIOD_MS)).to.be.false;
    expect(check.admit(TARGET, OTHER, 2 * PERIOD_MS)).to.be.true;
    expect(check.admit(OTHER, TARGET, 2 * PERIOD_MS + 1)).to.be.false;
  });
});
