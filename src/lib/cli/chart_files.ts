/** The chart files that come with the program. */
import {readdirSync} from 'node:fs';
import {readChart} from '../core/chart_file.js';
import type {ChartDefinition} from '../core/chart_file.js';
import {UsageError} from '../core/errors.js';
import {findNearestName} from '../settings/nearest_name.js';

const CHARTS_FOLDER = new URL('../../../../charts/', import.meta.url);
const CHART_EXTENSION = '.yaml';

/** Lists the names of the charts. */
export function listChartNames(): string[] {
  return readdirSync(CHARTS_FOLDER)
    .filter(file => file.endsWith(CHART_EXTENSION))
    .map(file => file.slice(0, -CHART_EXTENSION.length))
    .sort();
}

/**
 * Reads the chart of a name.
 *
 * @throws UsageError if there is none.
 */
export function getChart(name: string): ChartDefinition {
  const names = listChartNames();
  if (names.includes(name)) return readChart(name);
  const nearest = findNearestName(name, names);
  const hint = nearest === undefined ? '' : ` Did you mean "${nearest}"?`;
  throw new UsageError(`There is no chart "${name}".${hint}`);
}
