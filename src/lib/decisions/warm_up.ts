/**
 * Decides how long an entry that has just started admits every job. Its agents
 * connect within a second or two, and a job that is refused before then is lost.
 */
import {JobReason} from '../core/work_job.js';

/** Time in milliseconds after its start in which an entry admits every job at most. */
const WARM_UP_MS = 3000;

/**
 * Time in milliseconds without another target after which its agents count as
 * connected. An agent opens a silent link again after 450 ms.
 */
const QUIET_MS = 500;

/**
 * Most time in milliseconds that counts between two observations, twice their
 * period: an entry that has been stopped meanwhile could not have heard of a target.
 */
const MAX_STEP_MS = 100;

/** Observes the targets of an entry that has just started. */
export class WarmUp {
  /** Most targets that were connected at a time. */
  private targets = 0;
  /** Time observed since another target connected. */
  private quietMs = 0;
  private observedAtMs: number;

  private constructor(
    private readonly startedAtMs: number,
    private readonly endsEarly: boolean,
  ) {
    this.observedAtMs = startedAtMs;
  }

  /**
   * Creates the state of an entry that starts now.
   *
   * @param endsEarly Whether the time is over once no more targets connect.
   */
  static create(nowMs: number, endsEarly: boolean): WarmUp {
    return new WarmUp(nowMs, endsEarly);
  }

  /** Records the number of connected targets. */
  record(targets: number, nowMs: number): void {
    const stepMs = Math.min(nowMs - this.observedAtMs, MAX_STEP_MS);
    this.observedAtMs = nowMs;
    // Over for good: targets that connect later only raise the capacity.
    if (!this.isActive(nowMs)) return;
    // Without any target, its agents are on their way, as before the first one.
    const isQuiet = targets > 0 && targets <= this.targets;
    this.quietMs = isQuiet ? this.quietMs + stepMs : 0;
    this.targets = Math.max(this.targets, targets);
  }

  /** Returns whether the entry still admits every job. */
  isActive(nowMs: number): boolean {
    if (this.hasSettled(nowMs)) return false;
    const isQuiet = this.targets > 0 && this.quietMs >= QUIET_MS;
    return !this.endsEarly || !isQuiet;
  }

  /**
   * Returns whether a job may be refused for the reason. Until the longest time is
   * over, only the backlog counts: targets that a job lacks may still connect, and
   * for a need that none of the connected ones meets it would end as failed.
   */
  allowRefusal(reason: JobReason, nowMs: number): boolean {
    if (this.hasSettled(nowMs)) return true;
    return reason === JobReason.OVERLOADED && !this.isActive(nowMs);
  }

  /** Returns whether the longest time is over that agents take to connect. */
  hasSettled(nowMs: number): boolean {
    return nowMs - this.startedAtMs >= WARM_UP_MS;
  }
}
