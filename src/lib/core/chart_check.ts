/** Finds what is wrong with a chart before it is interpreted. */
import {listTransitions} from './chart_file.js';
import type {ChartDefinition} from './chart_file.js';

/** The names that the code uses; a chart must have exactly these. */
export interface ChartNames<S extends string, E extends string> {
  /** Enum of states. */
  readonly states: Readonly<Record<string, S>>;
  /** Enum of events, those of timers included (`timer.NAME`). */
  readonly events: Readonly<Record<string, E>>;
  /** Names of the guards that the code supplies. */
  readonly guards?: readonly string[];
  /** Names of the actions that the code supplies. */
  readonly actions?: readonly string[];
}

/** Lists what is unknown, unreachable, unhandled or missing. */
export function findChartProblems<S extends string, E extends string>(
  definition: ChartDefinition,
  vocabulary: ChartNames<S, E>,
): string[] {
  const states = Object.keys(definition.states);
  const ways = states.flatMap(name => listTransitions(definition.states[name]));
  const transitions = ways.flatMap(([, list]) => list);
  const targets = transitions.flatMap(way => (way.target ? [way.target] : []));
  const events = [...new Set(ways.map(([event]) => event))];
  const guards = transitions.flatMap(way => (way.guard ? [way.guard] : []));
  const actions = transitions.flatMap(way => [...(way.actions ?? [])]);
  return [
    ...compareNames('state', states, Object.values(vocabulary.states)),
    ...compareNames('event', events, Object.values(vocabulary.events)),
    ...compareNames('guard', guards, vocabulary.guards ?? []),
    ...compareNames('action', actions, vocabulary.actions ?? []),
    ...findMissing('target state', targets, states, 'the chart'),
    ...findMissing('initial state', [definition.initial], states, 'the chart'),
    ...findUnreachable(definition),
  ];
}

function compareNames(
  kind: string,
  inChart: readonly string[],
  inCode: readonly string[],
): string[] {
  return [
    ...findMissing(kind, inChart, inCode, 'the code'),
    ...findMissing(kind, inCode, inChart, 'the chart'),
  ];
}

function findMissing(
  kind: string,
  wanted: readonly string[],
  present: readonly string[],
  where: string,
): string[] {
  return [...new Set(wanted)]
    .filter(name => !present.includes(name))
    .map(name => `${kind} "${name}" is unknown to ${where}`);
}

function findUnreachable(definition: ChartDefinition): string[] {
  const reached = new Set<string>();
  const open = [definition.initial];
  while (open.length > 0) {
    const name = open.pop()!;
    const state = definition.states[name];
    if (state === undefined || reached.has(name)) continue;
    reached.add(name);
    for (const [, ways] of listTransitions(state)) {
      open.push(...ways.flatMap(way => (way.target ? [way.target] : [])));
    }
  }
  return Object.keys(definition.states)
    .filter(name => !reached.has(name))
    .map(name => `state "${name}" cannot be reached`);
}
