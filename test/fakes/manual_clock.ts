/** A clock that tests advance explicitly. */
import type {StartTimer} from '../../src/lib/core/clock.js';

/** Fires timers in order of time when a test advances the clock. */
export class ManualClock {
  nowMs = 0;
  private timers: Array<{atMs: number; fire: () => void}> = [];

  private constructor() {}

  static create(): ManualClock {
    return new ManualClock();
  }

  readonly readMs = (): number => this.nowMs;

  readonly startTimer: StartTimer = (delayMs, fire) => {
    const timer = {atMs: this.nowMs + delayMs, fire};
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter(other => other !== timer);
    };
  };

  /** Advances the time; lets replies be handled before and after each timer. */
  async advance(ms: number): Promise<void> {
    const endMs = this.nowMs + ms;
    await yieldToReplies();
    for (;;) {
      const [next] = this.timers
        .filter(timer => timer.atMs <= endMs)
        .sort((a, b) => a.atMs - b.atMs);
      if (next === undefined) break;
      this.timers = this.timers.filter(timer => timer !== next);
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.fire();
      await yieldToReplies();
    }
    this.nowMs = endMs;
  }
}

/** Turns of the event loop within which in-memory replies are handled. */
const TURNS = 4;

/** Lets pending promises and mailbox messages be handled. */
export async function yieldToReplies(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
}
