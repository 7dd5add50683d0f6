/** Share of its slack that an admitted job may be expected to wait, adapted by AIMD. */

/** Factor on the share after a late answer, and increment after one in time. */
const LATE_FACTOR = 0.9;
const IN_TIME_STEP = 0.02;

/** Bounds of the share; below the minimum every job that has to wait would be refused. */
const MIN_SHARE = 0.1;
const MAX_SHARE = 1;

/**
 * Tightens admission while answers are late and relaxes it while they are in
 * time, by additive increase and multiplicative decrease. Near full capacity,
 * every admitted job would otherwise wait until its latest start, and a small
 * error of the estimates would make nearly all of them late.
 */
export class SlackShare {
  private share = MAX_SHARE;

  private constructor() {}

  /** Creates a controller that lets jobs use all of their slack. */
  static create(): SlackShare {
    return new SlackShare();
  }

  /** Current share of the slack. */
  get value(): number {
    return this.share;
  }

  /** Records whether the answer of a served job was in time. */
  record(isInTime: boolean): void {
    this.share = isInTime
      ? Math.min(MAX_SHARE, this.share + IN_TIME_STEP)
      : Math.max(MIN_SHARE, this.share * LATE_FACTOR);
  }
}
