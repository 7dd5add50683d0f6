import {expect} from 'chai';
import fc from 'fast-check';
import {
  computeSetPoint,
  MIN_SET_POINT,
} from '../../src/lib/decisions/failure_backoff.js';
import {
  HEALTHY,
  HealthState,
  limitConcurrency,
  PROVEN_SUCCESSES,
  recordEnd,
  resumeHealth,
} from '../../src/lib/decisions/quarantine.js';
import type {AgentHealth} from '../../src/lib/decisions/quarantine.js';
import {createRandom, SEED} from './seeded_random.js';

function apply(health: AgentHealth, ends: readonly boolean[], nowMs = 0) {
  return ends.reduce(
    (each, end) => recordEnd(each, end, MIN_SET_POINT, nowMs),
    health,
  );
}

describe('AgentHealth', () => {
  it('stops a target after a few failures in a row', () => {
    const failing = apply(HEALTHY, Array(5).fill(false));
    expect(limitConcurrency(failing)).to.equal(0);
  });

  it('lengthens the pause with each failed probe, up to a bound', () => {
    let health = apply(HEALTHY, Array(5).fill(false));
    const pauses: number[] = [];
    for (let round = 0; round < 7; round += 1) {
      pauses.push(health.pauseMs / 1000);
      health = resumeHealth(health, health.resumeAtMs);
      expect(limitConcurrency(health)).to.equal(1);
      health = apply(health, [false], health.resumeAtMs);
    }
    expect(pauses).to.deep.equal([10, 20, 40, 80, 160, 160, 160]);
  });

  it('trusts a target again only after successful probes', () => {
    let health = apply(HEALTHY, Array(5).fill(false));
    health = resumeHealth(health, health.resumeAtMs);
    health = apply(health, Array(PROVEN_SUCCESSES - 1).fill(true));
    expect(limitConcurrency(health)).to.equal(1);
    health = apply(health, [true]);
    expect(limitConcurrency(health)).to.equal(Infinity);
  });

  it('does not limit a target whose failures are as rare as the set point', () => {
    const random = createRandom(SEED);
    let health = HEALTHY;
    for (let index = 0; index < 20_000; index += 1) {
      health = apply(health, [random() > 0.02]);
      expect(health.state).to.equal(HealthState.TRUSTED);
    }
  });

  it('keeps the backoff between 0 and 1 and always allows recovery', () => {
    const ends = fc.array(fc.boolean(), {maxLength: 100});
    const property = fc.property(ends, list => {
      let health = apply(HEALTHY, list);
      expect(health.backoff.level).to.be.within(0, 1);
      health = resumeHealth(health, health.resumeAtMs);
      expect(limitConcurrency(health)).to.be.at.least(1);
    });
    fc.assert(property, {seed: SEED});
  });
});

describe('computeSetPoint', () => {
  it('attributes failures to the tasks once half of the fleet fails', () => {
    expect(computeSetPoint(0.5)).to.equal(1);
    expect(computeSetPoint(0)).to.equal(MIN_SET_POINT);
  });
});
