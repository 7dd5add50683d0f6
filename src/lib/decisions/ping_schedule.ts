/**
 * When an agent reports its load and proves its contact with its entries.
 *
 * A report needs no answer and shows the entry that the agent is alive; a ping
 * does, and its answer shows the agent that the entry is. Runs are stopped after
 * 600 ms without an answer, which leaves room for two lost ones.
 */

/** Period in milliseconds in which a changed load is reported on each link. */
const REPORT_PERIOD_MS = 100;

/** Number of report periods between two pings on each link. */
const PERIODS_PER_PING = 2;

/** What is due on all links now. */
export interface DueMessages {
  readonly isReportDue: boolean;
  readonly isPingDue: boolean;
}

/** Paces the messages on all links of an agent, which are sent together. */
export class PingSchedule {
  private lastReportMs = -Infinity;
  private periods = 0;

  private constructor() {}

  /** Creates a schedule on which a report and a ping are due at once. */
  static create(): PingSchedule {
    return new PingSchedule();
  }

  /** Monotonic time in milliseconds at which the next report is due. */
  get dueMs(): number {
    return this.lastReportMs + REPORT_PERIOD_MS;
  }

  /** Returns what is due, and counts it as sent. */
  take(nowMs: number): DueMessages {
    // A timer has millisecond resolution and may fire up to 1 ms early.
    if (nowMs < this.dueMs - 1) return {isReportDue: false, isPingDue: false};
    this.lastReportMs = nowMs;
    const isPingDue = this.periods % PERIODS_PER_PING === 0;
    this.periods += 1;
    return {isReportDue: true, isPingDue};
  }
}
