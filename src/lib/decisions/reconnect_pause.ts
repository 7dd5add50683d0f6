/** How soon a link to an entry that is out of reach is tried again. */

/**
 * Share of the time since the entry fell silent that an attempt to connect may
 * take, and its bounds in milliseconds. A host without power does not refuse a
 * connection, it leaves it unanswered, and a kernel asks again only after 1 s.
 */
const OPENING_SHARE = 0.3;
const SHORTEST_OPENING_MS = 150;
const LONGEST_OPENING_MS = 1000;

/**
 * Share of that time to pause between attempts, and its bounds in milliseconds.
 * An entry that restarts is back within a second or two; one that is gone is
 * asked less and less often.
 */
const PAUSE_SHARE = 0.1;
const SHORTEST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1000;

/** Returns the time in milliseconds that an attempt to connect may take. */
export function computeConnectTimeout(silentMs: number): number {
  return clamp(
    silentMs * OPENING_SHARE,
    SHORTEST_OPENING_MS,
    LONGEST_OPENING_MS,
  );
}

/** Returns the pause in milliseconds before the next attempt. */
export function computeReconnectPause(silentMs: number): number {
  return clamp(silentMs * PAUSE_SHARE, SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS);
}

function clamp(value: number, least: number, greatest: number): number {
  return Math.min(greatest, Math.max(least, value));
}
