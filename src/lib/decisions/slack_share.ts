/** How much of its slack a job may be expected to wait, learned from the ends of jobs. */

/** Factor at each late answer, and step at each answer in time (AIMD). */
const LATE_FACTOR = 0.9;
const IN_TIME_STEP = 0.02;

/** Bounds of the share: below it everything that has to wait is refused. */
const LEAST_SHARE = 0.1;
const GREATEST_SHARE = 1;

/**
 * Tightens admission while answers come late and loosens it while they come in
 * time: additive increase, multiplicative decrease. Pattern: at the edge of
 * capacity every admitted job waits until its last moment, and a small error
 * of the estimates makes nearly all of them late.
 */
export class SlackShare {
  private share = GREATEST_SHARE;

  private constructor() {}

  /** Creates a share that lets jobs use all of their slack. */
  static create(): SlackShare {
    return new SlackShare();
  }

  /** The present share. */
  get value(): number {
    return this.share;
  }

  /** Takes the end of a job that was served. */
  record(isInTime: boolean): void {
    this.share = isInTime
      ? Math.min(GREATEST_SHARE, this.share + IN_TIME_STEP)
      : Math.max(LEAST_SHARE, this.share * LATE_FACTOR);
  }
}
