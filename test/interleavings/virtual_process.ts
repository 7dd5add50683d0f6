/** Simulates the clocks and timers of a process that may be frozen, suspended or killed. */
import type {StartTimer} from '../../src/lib/core/clock.js';
import {VirtualHost} from './virtual_time.js';
import type {VirtualTime} from './virtual_time.js';

/** System clock less the virtual time. */
const SYSTEM_OFFSET_MS = 1_780_000_000_000;

/** One execution of a process. */
export class VirtualProcess {
  readonly host: VirtualHost;
  private suspendedAtMs = 0;
  private resumesAtMs = 0;
  private suspendedMs = 0;

  private constructor(private readonly time: VirtualTime) {
    this.host = VirtualHost.create(time);
  }

  /** Creates a running process. */
  static create(time: VirtualTime): VirtualProcess {
    return new VirtualProcess(time);
  }

  /** Whether the process has not been killed. */
  get isAlive(): boolean {
    return !this.host.isKilled;
  }

  /** Reads the monotonic clock, which stands still while suspended. */
  readonly readMonotonicMs = (): number => {
    const {nowMs} = this.time;
    const sinceMs =
      nowMs < this.resumesAtMs ? nowMs - this.suspendedAtMs : this.suspendedMs;
    const earlierMs =
      nowMs < this.resumesAtMs
        ? this.suspendedMs - (this.resumesAtMs - this.suspendedAtMs)
        : 0;
    return nowMs - sinceMs - earlierMs;
  };

  /** Reads the system clock, which never stands still. */
  readonly readSystemMs = (): number => this.time.nowMs + SYSTEM_OFFSET_MS;

  /**
   * Starts a timer on the monotonic clock. One that is due during a freeze fires
   * after what has arrived meanwhile: the code under test defers its checks until
   * pending sockets are read.
   */
  readonly startTimer: StartTimer = (delayMs, fire) => {
    const dueMs = this.readMonotonicMs() + delayMs;
    let isStopped = false;
    const wait = (waitMs: number) => {
      const wakeMs = this.time.nowMs + waitMs;
      const check = () => {
        if (isStopped) return;
        const leftMs = dueMs - this.readMonotonicMs();
        if (leftMs > 0.001) wait(leftMs);
        else if (this.time.nowMs > wakeMs) wait(0);
        else fire();
      };
      this.time.schedule(waitMs, check, this.host);
    };
    wait(delayMs);
    return () => (isStopped = true);
  };

  /** Freezes the process; its clocks go on. */
  pause(durationMs: number): void {
    const untilMs = this.time.nowMs + durationMs;
    this.host.frozenUntilMs = Math.max(this.host.frozenUntilMs, untilMs);
  }

  /** Suspends the process: its monotonic clock stands still. */
  pauseWithClock(durationMs: number): void {
    if (this.time.nowMs < this.host.frozenUntilMs) return;
    this.pause(durationMs);
    this.suspendedAtMs = this.time.nowMs;
    this.resumesAtMs = this.time.nowMs + durationMs;
    this.suspendedMs += durationMs;
  }

  /** Kills the process. */
  kill(): void {
    this.host.isKilled = true;
  }
}
