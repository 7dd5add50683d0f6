/** Connect timeout and reconnect pause of a link to an unreachable entry. */

/**
 * Connect timeout as a share of the time since the entry was last heard from,
 * and its bounds in milliseconds. A host without power does not refuse a
 * connection but leaves it unanswered, and the kernel resends the SYN only
 * after 1 s.
 */
const CONNECT_TIMEOUT_SHARE = 0.3;
const MIN_CONNECT_TIMEOUT_MS = 150;
const MAX_CONNECT_TIMEOUT_MS = 1000;

/**
 * Reconnect pause as a share of that time, and its bounds in milliseconds. An
 * entry that restarts is back within a second or two; one that stays unreachable
 * is tried less and less often.
 */
const PAUSE_SHARE = 0.1;
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1000;

/** Returns the connect timeout in milliseconds. */
export function computeConnectTimeout(unreachableMs: number): number {
  return clamp(
    unreachableMs * CONNECT_TIMEOUT_SHARE,
    MIN_CONNECT_TIMEOUT_MS,
    MAX_CONNECT_TIMEOUT_MS,
  );
}

/** Returns the pause in milliseconds before the next attempt to connect. */
export function computeReconnectPause(unreachableMs: number): number {
  return clamp(unreachableMs * PAUSE_SHARE, MIN_PAUSE_MS, MAX_PAUSE_MS);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
