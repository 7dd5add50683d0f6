/** Order of the heartbeats that name one incarnation of a target. */

/** When a heartbeat was sent, as it says itself. */
export interface HeartbeatTime {
  /** Rises with each heartbeat of one incarnation. */
  readonly sequence: number;
  /** The target's monotonic clock in milliseconds; undefined if not given. */
  readonly clockMs: number | undefined;
}

/**
 * Returns whether a heartbeat was sent after the latest one. The clock decides if the
 * latest has one: unlike a sequence, it can be limited to what the target's answers
 * have shown.
 */
export function isNewerHeartbeat(
  next: HeartbeatTime,
  latest: HeartbeatTime,
): boolean {
  const hasLaterSequence = next.sequence > latest.sequence;
  if (latest.clockMs === undefined) return hasLaterSequence;
  if (next.clockMs === undefined) return false;
  if (next.clockMs === latest.clockMs) return hasLaterSequence;
  return next.clockMs > latest.clockMs;
}

/**
 * Limits the clock of a heartbeat to a lower bound of the target's clock. A heartbeat
 * that claims a later time than it can have been sent at counts only until the next.
 */
export function limitHeartbeatClock<T extends HeartbeatTime>(
  heartbeat: T,
  targetClockMs: number,
): T {
  const {clockMs} = heartbeat;
  if (clockMs === undefined) return heartbeat;
  return {...heartbeat, clockMs: Math.min(clockMs, targetClockMs)};
}
