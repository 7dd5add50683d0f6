/** Where the heartbeats of one incarnation of a target come from. */

/** What stays the same over all heartbeats of one incarnation. */
export interface HeartbeatOrigin {
  readonly service: string;
  readonly dataCentre: string;
}

/**
 * Time in milliseconds without a heartbeat of the known origin after which another one
 * takes its place. Longer than a target's heartbeat period, so that a target that is
 * heard keeps its place.
 */
const SILENCE_MS = 2000;

/**
 * Rejects heartbeats that contradict the earlier ones of an incarnation. The first one
 * may have come from another writer, so a contradiction is not rejected for good.
 */
export class HeartbeatOriginCheck {
  private lastHeardMs = Number.NEGATIVE_INFINITY;

  private constructor() {}

  /** Creates the check of an incarnation that has not been heard. */
  static create(): HeartbeatOriginCheck {
    return new HeartbeatOriginCheck();
  }

  /** Returns whether a heartbeat may take the place of the latest one. */
  admit(
    next: HeartbeatOrigin,
    latest: HeartbeatOrigin,
    nowMs: number,
  ): boolean {
    const isSame =
      next.service === latest.service && next.dataCentre === latest.dataCentre;
    const isSilent = nowMs - this.lastHeardMs > SILENCE_MS;
    if (!isSame && !isSilent) return false;
    this.lastHeardMs = nowMs;
    return true;
  }

  /** Records the first heartbeat of an incarnation. */
  reset(nowMs: number): void {
    this.lastHeardMs = nowMs;
  }
}
