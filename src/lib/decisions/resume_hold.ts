/**
 * Holds placements back after an entry was frozen or cut off.
 *
 * What callers sent meanwhile is read at once when the entry resumes, the end of
 * their connections a moment later. A caller that has gone may have submitted its
 * job to another entry, where it runs already.
 */
import {SuspensionDetector} from './suspension_detector.js';

/** Time in milliseconds between two observations that shows a freeze. */
const MIN_FREEZE_MS = 300;

/** Time in milliseconds without any agent after which the entry counts as cut off. */
const MIN_CUT_MS = 900;

/** Time in milliseconds in which the ends of the callers' connections arrive. */
const HOLD_MS = 40;

/** Readings that show whether the entry has been frozen or cut off. */
export interface ResumeReadings {
  readonly nowMs: number;
  /** System clock in milliseconds since the Unix epoch. */
  readonly systemMs: number;
  /** Whether any agent is connected. */
  readonly isConnected: boolean;
}

/** Detects that the entry has resumed, and until when placements must wait. */
export class ResumeHold {
  private readonly suspension = SuspensionDetector.create();
  private observedAtMs: number | undefined;
  private connectedAtMs: number | undefined;
  private untilMs = -Infinity;

  private constructor() {}

  /** Creates a hold that delays nothing. */
  static create(): ResumeHold {
    return new ResumeHold();
  }

  /** Monotonic time in milliseconds before which nothing must be placed. */
  get holdUntilMs(): number {
    return this.untilMs;
  }

  /** Records the readings of one turn; returns whether a hold has begun. */
  observe({nowMs, systemMs, isConnected}: ResumeReadings): boolean {
    const isSuspended = this.suspension.observe(nowMs, systemMs);
    const isFrozen = nowMs - (this.observedAtMs ?? nowMs) > MIN_FREEZE_MS;
    const isCut =
      isConnected && nowMs - (this.connectedAtMs ?? nowMs) > MIN_CUT_MS;
    this.observedAtMs = nowMs;
    if (isConnected) this.connectedAtMs = nowMs;
    if (!isSuspended && !isFrozen && !isCut) return false;
    this.untilMs = nowMs + HOLD_MS;
    return true;
  }
}
