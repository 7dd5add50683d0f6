/** Times the periodic checks of an agent: often while it has work, rarely while idle. */
import type {ReadSystemMs, StartTimer, StopTimer} from '../../core/clock.js';
import {computeBeatDelay} from '../../decisions/common_beat.js';

/** Period in milliseconds of the checks while there is something to watch. */
const BUSY_PERIOD_MS = 50;

/** Period in milliseconds of the checks of an idle agent; that of its pings. */
const IDLE_PERIOD_MS = 200;

/** Dependencies of a check timer. */
export interface CheckTimerOptions {
  readonly startTimer: StartTimer;
  readonly readSystemMs: ReadSystemMs;
  /** Returns whether there is something to watch. */
  readonly isBusy: () => boolean;
  readonly check: () => void;
}

/** Ticks on the common beat, so that a check and the pings take one wake-up. */
export class CheckTimer {
  private isFast = false;
  private stopTimer: StopTimer = () => undefined;

  private constructor(private readonly options: CheckTimerOptions) {}

  /** Creates a timer and starts it. */
  static create(options: CheckTimerOptions): CheckTimer {
    const timer = new CheckTimer(options);
    timer.start();
    return timer;
  }

  /** Shortens the period if there is something to watch now. */
  refresh(): void {
    if (this.isFast || !this.options.isBusy()) return;
    this.stopTimer();
    this.start();
  }

  /** Stops the checks. */
  stop(): void {
    this.stopTimer();
  }

  private start(): void {
    const {startTimer, readSystemMs, isBusy, check} = this.options;
    this.isFast = isBusy();
    const periodMs = this.isFast ? BUSY_PERIOD_MS : IDLE_PERIOD_MS;
    const delayMs = computeBeatDelay(readSystemMs(), periodMs);
    this.stopTimer = startTimer(delayMs, () => {
      check();
      this.start();
    });
  }
}
