/** How often an agent reports the load of its target. */

/**
 * Minimum time in milliseconds between two reports to one entry. Nothing urgent
 * waits for one: run ends are sent at once, and an entry accounts for its own
 * orders itself.
 */
const MIN_PERIOD_MS = 10;

/** Maximum number of reports that an agent sends per second, over all its entries. */
const MAX_REPORTS_PER_SECOND = 400;

const MS_PER_SECOND = 1000;

/**
 * Returns the minimum time in milliseconds between two reports to one entry.
 * An entry whose own runs have changed the load gets the next report sooner; the
 * total of the others does not grow with the number of links.
 */
export function computeReportPeriod(links: number, isUrgent: boolean): number {
  if (isUrgent) return MIN_PERIOD_MS;
  return Math.max(
    MIN_PERIOD_MS,
    (links * MS_PER_SECOND) / MAX_REPORTS_PER_SECOND,
  );
}
