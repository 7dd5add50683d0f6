import {expect} from 'chai';
import {CheckTimer} from '../../src/lib/work/agent/check_timer.js';

/** A host whose only timers are those of the test. */
class Host {
  nowMs = 1_700_000_000_130;
  isBusy = false;
  checks: number[] = [];
  readonly timer: CheckTimer;
  private readonly timers = new Map<() => void, number>();

  private constructor() {
    this.timer = CheckTimer.create({
      startTimer: (delayMs, fire) => {
        this.timers.set(fire, this.nowMs + delayMs);
        return () => void this.timers.delete(fire);
      },
      readSystemMs: () => this.nowMs,
      isBusy: () => this.isBusy,
      check: () => this.checks.push(this.nowMs),
    });
  }

  static create(): Host {
    return new Host();
  }

  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (; this.nowMs < endMs; this.nowMs += 1) {
      for (const [fire, atMs] of this.timers) {
        if (this.nowMs < atMs) continue;
        this.timers.delete(fire);
        fire();
      }
    }
  }
}

// 20 checks a second of agents without work were a tenth of the processor time of
// a site with 70 targets before its traffic began.
describe('The checks of an agent', () => {
  it('are five a second while it is idle, on the common beat', () => {
    const host = Host.create();
    host.advance(10_000);
    expect(host.checks.length).to.be.within(49, 51);
    for (const atMs of host.checks) expect(atMs % 200).to.equal(0);
  });

  it('are every 50 ms while it has work', () => {
    const host = Host.create();
    host.isBusy = true;
    host.timer.refresh();
    host.advance(10_000);
    expect(host.checks.length).to.be.within(199, 201);
  });

  it('come within 75 ms of the first work', () => {
    const host = Host.create();
    for (let startMs = 0; startMs < 200; startMs += 7) {
      host.isBusy = false;
      host.advance(1000 + startMs);
      host.checks = [];
      host.isBusy = true;
      const workAtMs = host.nowMs;
      host.timer.refresh();
      host.advance(100);
      expect(host.checks[0] - workAtMs).to.be.at.most(75);
    }
  });

  it('end when the timer is stopped', () => {
    const host = Host.create();
    host.timer.stop();
    host.advance(1000);
    expect(host.checks).to.deep.equal([]);
  });
});
