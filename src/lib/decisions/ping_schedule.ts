/**
 * When an agent reports its load and proves its contact with its entries.
 *
 * A report needs no answer and shows the entry that the agent is alive; a ping
 * does, and its answer shows the agent that the entry is. Runs are stopped after
 * 600 ms without an answer, which leaves room for two lost ones.
 */
import {computeBeatDelay, countBeats} from './common_beat.js';

/** Period in milliseconds in which a changed load is reported on each link. */
const REPORT_PERIOD_MS = 100;

/** Number of report periods between two pings on each link. */
const PERIODS_PER_PING = 2;

/** Maximum time in milliseconds between two pings while the beat is moved. */
const MAX_PING_GAP_MS = 250;

/** What is due on all links now. */
export interface DueMessages {
  readonly isReportDue: boolean;
  readonly isPingDue: boolean;
}

/**
 * Paces the messages on all links of an agent, which are sent together, on the
 * common beat of the site.
 */
export class PingSchedule {
  private nextMs = -Infinity;
  private lastPingMs = -Infinity;

  private constructor() {}

  /** Creates a schedule on which a report and a ping are due at once. */
  static create(): PingSchedule {
    return new PingSchedule();
  }

  /** Monotonic time in milliseconds at which the next report is due. */
  get dueMs(): number {
    return this.nextMs;
  }

  /** Returns what is due, and counts it as sent. */
  take(nowMs: number, systemMs: number): DueMessages {
    // A timer has millisecond resolution and may fire up to 1 ms early.
    if (nowMs < this.nextMs - 1) return {isReportDue: false, isPingDue: false};
    this.nextMs = nowMs + computeBeatDelay(systemMs, REPORT_PERIOD_MS);
    const beats = countBeats(systemMs, REPORT_PERIOD_MS);
    const isPingDue =
      beats % PERIODS_PER_PING === 0 ||
      this.nextMs - this.lastPingMs > MAX_PING_GAP_MS;
    if (isPingDue) this.lastPingMs = nowMs;
    return {isReportDue: true, isPingDue};
  }
}
