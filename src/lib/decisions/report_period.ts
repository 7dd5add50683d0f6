/** How often an agent reports the load of its target. */

/**
 * Minimum time in milliseconds between two batches of reports. Nothing urgent
 * waits for one: an entry gets a report with the end of its run, and accounts for
 * its own orders itself.
 */
const MIN_PERIOD_MS = 10;

/** Maximum number of such reports that an agent sends per second, over all entries. */
const MAX_REPORTS_PER_SECOND = 60;

const MS_PER_SECOND = 1000;

/**
 * Returns the time in milliseconds between two batches of reports, one to each
 * entry; their total per second does not grow with the number of links.
 */
export function computeReportPeriod(links: number): number {
  return Math.max(
    MIN_PERIOD_MS,
    (links * MS_PER_SECOND) / MAX_REPORTS_PER_SECOND,
  );
}
