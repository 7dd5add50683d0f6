/** Format and reader of chart files. */
import {existsSync, readFileSync} from 'node:fs';
import {ChartError} from './errors.js';
import {parseDocument} from './parse_document.js';

/** A transition out of a state. */
export interface ChartTransition {
  readonly target?: string;
  readonly guard?: string;
  readonly actions?: readonly string[];
}

/** A state in a chart file. */
export interface ChartState {
  readonly type?: 'final';
  readonly description?: string;
  readonly on?: Readonly<Record<string, ChartTransition | ChartTransition[]>>;
  /** Transitions taken when a timer of the state fires, by the timer's name. */
  readonly after?: Readonly<Record<string, ChartTransition>>;
}

/** Content of a chart file. */
export interface ChartDefinition {
  readonly id: string;
  readonly description: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

/** Prefix of the event that is sent when a timer fires. */
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

/** Maximum number of levels between a compiled module and the package folder. */
const FOLDER_LEVELS = 6;

// Compiled modules and bundles lie at different depths in the package.
function findChartsFolder(): URL {
  let folder = new URL('./', import.meta.url);
  for (let level = 0; level < FOLDER_LEVELS; level += 1) {
    const charts = new URL('charts/', folder);
    if (existsSync(charts)) return charts;
    folder = new URL('../', folder);
  }
  throw new ChartError(
    'The folder "charts" was not found in any parent folder.',
  );
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

/** Lists the transitions out of a state by event, including those of its timers. */
export function listTransitions(
  state: ChartState,
): Array<[event: string, transitions: ChartTransition[]]> {
  const byEvent = Object.entries(state.on ?? {}).map(
    ([event, transitions]): [string, ChartTransition[]] => [
      event,
      toList(transitions),
    ],
  );
  const byTimer = Object.entries(state.after ?? {}).map(
    ([timer, transition]): [string, ChartTransition[]] => [
      TIMER_EVENT_PREFIX + timer,
      [transition],
    ],
  );
  return [...byEvent, ...byTimer];
}

/** Converts one item, a list or `undefined` to a list. */
export function toList<T>(value: T | T[] | undefined): T[] {
  if (value === undefined) return [];
  return Array.isArray(value) ? value : [value];
}
