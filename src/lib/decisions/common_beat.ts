/**
 * The common beat of a site's periodic messages (timer coalescing across hosts).
 *
 * Each wake-up of a process finds its caches cold and costs several times what the
 * message itself does. Agents that act at the same times by the system clock let an
 * entry read the messages of all of them in a few wake-ups, where agents with phases
 * of their own wake it once for each. Clocks that differ cost only this gain: no
 * decision depends on the beat.
 */

/**
 * Returns the time in milliseconds until the next multiple of the period by the
 * system clock that is at least half a period away, so that a timer that fires
 * early or a clock that is stepped never makes two ticks of one.
 */
export function computeBeatDelay(systemMs: number, periodMs: number): number {
  const delayMs = periodMs - (systemMs % periodMs);
  return delayMs < periodMs / 2 ? delayMs + periodMs : delayMs;
}

/** Returns the number of the beat that is nearest to a time of the system clock. */
export function countBeats(systemMs: number, periodMs: number): number {
  return Math.round(systemMs / periodMs);
}
