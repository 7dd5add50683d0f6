import {expect} from 'chai';
import fc from 'fast-check';
import {
  computeBeatDelay,
  countBeats,
} from '../../src/lib/decisions/common_beat.js';
import {PingSchedule} from '../../src/lib/decisions/ping_schedule.js';
import {createRandom, SEED} from './seeded_random.js';

const AGENTS = 23;
const SECONDS = 10;

/** Time in milliseconds in which messages are read by one wake-up. */
const TURN_MS = 2;

describe('The common beat', () => {
  it('has its next tick half a period to one and a half away', () => {
    fc.assert(
      fc.property(fc.double({min: 0, max: 2e12, noNaN: true}), systemMs => {
        const delayMs = computeBeatDelay(systemMs, 100);
        expect(delayMs).to.be.within(50, 150);
        const phaseMs = (systemMs + delayMs) % 100;
        expect(Math.min(phaseMs, 100 - phaseMs)).to.be.below(0.01);
      }),
    );
  });

  it('makes one tick of a timer that fires early or late', () => {
    for (const offMs of [-1, 0, 1, 20]) {
      const systemMs = 1_700_000_000_000 + offMs;
      expect(computeBeatDelay(systemMs, 100)).to.equal(100 - offMs);
      expect(countBeats(systemMs, 100)).to.equal(17_000_000_000);
    }
  });

  /** Counts the wake-ups of an entry per second by the agents' pings and reports. */
  function countWakeUps(drawSkewMs: () => number): number {
    const arrivals: number[] = [];
    for (let agent = 0; agent < AGENTS; agent += 1) {
      const schedule = PingSchedule.create();
      const systemOffsetMs = 1_700_000_000_000 + drawSkewMs();
      const lateMs = agent % 2;
      for (let nowMs = agent; nowMs < SECONDS * 1000;) {
        schedule.take(nowMs, nowMs + systemOffsetMs);
        arrivals.push(nowMs + 1);
        nowMs = schedule.dueMs + lateMs;
      }
    }
    arrivals.sort((a, b) => a - b);
    let wakeUps = 0;
    let readUntilMs = -Infinity;
    for (const atMs of arrivals) {
      if (atMs <= readUntilMs) continue;
      wakeUps += 1;
      readUntilMs = atMs + TURN_MS;
    }
    return wakeUps / SECONDS;
  }

  // 23 agents with phases of their own woke their entry up to 230 times a second.
  it('wakes an entry about once a period, whatever the number of agents', () => {
    const random = createRandom(SEED);
    expect(countWakeUps(() => 0)).to.be.below(25);
    expect(countWakeUps(() => random() * 3)).to.be.below(40);
  });
});
