/** Finds and reads the chart files shipped with the program. */
import {readdirSync} from 'node:fs';
import {readChart} from '../core/chart_file.js';
import type {ChartDefinition} from '../core/chart_file.js';
import {UsageError} from '../core/errors.js';
import {findNearestName} from '../settings/nearest_name.js';

const CHARTS_FOLDER = new URL('../../../../charts/', import.meta.url);
const CHART_EXTENSION = '.yaml';

/** Lists the names of the shipped charts in alphabetical order. */
export function listChartNames(): string[] {
  return readdirSync(CHARTS_FOLDER)
    .filter(file => file.endsWith(CHART_EXTENSION))
    .map(file => file.slice(0, -CHART_EXTENSION.length))
    .sort();
}

/**
 * Reads the chart with the given name.
 *
 * @throws UsageError if there is no such chart.
 */
export function getChart(name: string): ChartDefinition {
  const names = listChartNames();
  if (names.includes(name)) return readChart(name);
  const nearest = findNearestName(name, names);
  const hint = nearest === undefined ? '' : ` Did you mean "${nearest}"?`;
  throw new UsageError(`Unknown chart "${name}".${hint}`);
}
