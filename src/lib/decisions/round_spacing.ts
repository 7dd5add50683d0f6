/** How often the waiting jobs are ranked anew. */

/** Jobs that are ranked per millisecond of the time between two rounds. */
const JOBS_PER_MS = 20;

/** Maximum time in milliseconds between two rounds while jobs wait. */
const MAX_SPACING_MS = 20;

/**
 * Returns the minimum time in milliseconds between two rounds of placement. A
 * round ranks all waiting jobs; during overload, one after each message would
 * take all of a small host's processor time.
 */
export function computeRoundSpacing(waitingJobs: number): number {
  return Math.min(MAX_SPACING_MS, waitingJobs / JOBS_PER_MS);
}
