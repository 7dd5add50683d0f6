/** Validation of charts before they are interpreted. */
import {listTransitions} from './chart_file.js';
import type {ChartDefinition} from './chart_file.js';

/** The names that the code uses; a chart must define exactly these. */
export interface ChartNames<S extends string, E extends string> {
  /** Enum of states. */
  readonly states: Readonly<Record<string, S>>;
  /** Enum of events, those of timers included (`timer.NAME`). */
  readonly events: Readonly<Record<string, E>>;
  /** Names of the guards that the code implements. */
  readonly guards?: readonly string[];
  /** Names of the actions that the code implements. */
  readonly actions?: readonly string[];
}

/**
 * Lists the names on which the chart and the code disagree, target states that
 * are missing and states that cannot be reached.
 */
export function findChartProblems<S extends string, E extends string>(
  definition: ChartDefinition,
  names: ChartNames<S, E>,
): string[] {
  const states = Object.keys(definition.states);
  const byEvent = states.flatMap(name =>
    listTransitions(definition.states[name]),
  );
  const transitions = byEvent.flatMap(([, list]) => list);
  const targets = transitions.flatMap(t => (t.target ? [t.target] : []));
  const events = [...new Set(byEvent.map(([event]) => event))];
  const guards = transitions.flatMap(t => (t.guard ? [t.guard] : []));
  const actions = transitions.flatMap(t => [...(t.actions ?? [])]);
  return [
    ...compareNames('state', states, Object.values(names.states)),
    ...compareNames('event', events, Object.values(names.events)),
    ...compareNames('guard', guards, names.guards ?? []),
    ...compareNames('action', actions, names.actions ?? []),
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
  const reachable = new Set<string>();
  const pending = [definition.initial];
  while (pending.length > 0) {
    const name = pending.pop()!;
    const state = definition.states[name];
    if (state === undefined || reachable.has(name)) continue;
    reachable.add(name);
    for (const [, transitions] of listTransitions(state)) {
      pending.push(...transitions.flatMap(t => (t.target ? [t.target] : [])));
    }
  }
  return Object.keys(definition.states)
    .filter(name => !reachable.has(name))
    .map(name => `state "${name}" cannot be reached`);
}
