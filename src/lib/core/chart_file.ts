/** Chart files: their shape and how they are read. */
import {existsSync, readFileSync} from 'node:fs';
import {ChartError} from './errors.js';
import {parseDocument} from './parse_document.js';

/** One way out of a state. */
export interface ChartTransition {
  readonly target?: string;
  readonly guard?: string;
  readonly actions?: readonly string[];
}

/** One state of a chart file. */
export interface ChartState {
  readonly type?: 'final';
  readonly description?: string;
  readonly on?: Readonly<Record<string, ChartTransition | ChartTransition[]>>;
  /** Timers that run while the state lasts: name of the timer, way out. */
  readonly after?: Readonly<Record<string, ChartTransition>>;
}

/** What a chart file holds. */
export interface ChartDefinition {
  readonly id: string;
  readonly description: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

/** Prefix of the event that a timer sends when it fires. */
export const TIMER_EVENT_PREFIX = 'timer.';

/**
 * Reads a chart file (YAML).
 *
 * @throws ChartError if the file cannot be read or is not a chart.
 */
export function readChartFile(path: URL | string): ChartDefinition {
  let document: unknown;
  try {
    document = parseDocument(readFileSync(path, 'utf8'));
  } catch (cause) {
    throw new ChartError(`State chart file ${path} cannot be read.`, {cause});
  }
  if (!isChartDefinition(document)) {
    throw new ChartError(
      `State chart file ${path} needs "id", "description", "initial" and "states".`,
    );
  }
  return document;
}

/** Reads the chart file of that name from the project's `charts` folder. */
export function readChart(name: string): ChartDefinition {
  chartsFolder ??= findChartsFolder();
  return readChartFile(new URL(`${name}.yaml`, chartsFolder));
}

let chartsFolder: URL | undefined;

/** Levels between a compiled module and the package's folder at most. */
const FOLDER_LEVELS = 6;

// Modules are compiled one by one or bundled, at different depths.
function findChartsFolder(): URL {
  let folder = new URL('./', import.meta.url);
  for (let level = 0; level < FOLDER_LEVELS; level += 1) {
    const charts = new URL('charts/', folder);
    if (existsSync(charts)) return charts;
    folder = new URL('../', folder);
  }
  throw new ChartError('The folder of the state charts cannot be found.');
}

function isChartDefinition(document: unknown): document is ChartDefinition {
  if (typeof document !== 'object' || document === null) return false;
  const chart = document as Partial<ChartDefinition>;
  return (
    typeof chart.id === 'string' &&
    typeof chart.description === 'string' &&
    typeof chart.initial === 'string' &&
    typeof chart.states === 'object' &&
    chart.states !== null
  );
}

/** Lists the ways out of a state by event, those of its timers included. */
export function listTransitions(
  state: ChartState,
): Array<[event: string, ways: ChartTransition[]]> {
  const byEvent = Object.entries(state.on ?? {}).map(
    ([event, ways]): [string, ChartTransition[]] => [event, toList(ways)],
  );
  const byTimer = Object.entries(state.after ?? {}).map(
    ([timer, way]): [string, ChartTransition[]] => [
      TIMER_EVENT_PREFIX + timer,
      [way],
    ],
  );
  return [...byEvent, ...byTimer];
}

/** Returns a list, whether one item, a list or nothing was given. */
export function toList<T>(value: T | T[] | undefined): T[] {
  if (value === undefined) return [];
  return Array.isArray(value) ? value : [value];
}
