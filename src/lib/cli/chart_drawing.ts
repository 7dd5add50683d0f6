/** Draws state charts from the files that the programs interpret. */
import {listTransitions, TIMER_EVENT_PREFIX} from '../core/chart_file.js';
import type {
  ChartDefinition,
  ChartState,
  ChartTransition,
} from '../core/chart_file.js';

/** Output formats of a chart drawing. */
export enum ChartFormat {
  TEXT = 'text',
  MERMAID = 'mermaid',
}

/** Renders a chart in one output format. */
export type DrawChart = (chart: ChartDefinition) => string;

const DRAW_BY_FORMAT: Readonly<Record<ChartFormat, DrawChart>> = {
  [ChartFormat.TEXT]: drawChartAsText,
  [ChartFormat.MERMAID]: drawChartAsMermaid,
};

/** Renders a chart in the given format. */
export function drawChart(chart: ChartDefinition, format: ChartFormat): string {
  return DRAW_BY_FORMAT[format](chart);
}

/** Renders a chart as text: each state with its transitions below it. */
export function drawChartAsText(chart: ChartDefinition): string {
  const states = Object.entries(chart.states).flatMap(([name, state]) => [
    '',
    `${name}${formatStateMark(chart, name, state)}`,
    ...(state.description === undefined ? [] : [`  ${state.description}`]),
    ...listLabels(name, state).map(({label, target}) =>
      target === name ? `  * ${label}` : `  * ${label} --> ${target}`,
    ),
  ]);
  return [`${chart.id}: ${chart.description}`, ...states].join('\n');
}

/** Renders a chart as a Mermaid state diagram. */
export function drawChartAsMermaid(chart: ChartDefinition): string {
  const states = Object.entries(chart.states);
  const transitions = states.flatMap(([name, state]) =>
    listLabels(name, state).map(
      ({label, target}) => `  ${name} --> ${target}: ${label}`,
    ),
  );
  const finalTransitions = states
    .filter(([, state]) => state.type === 'final')
    .map(([name]) => `  ${name} --> [*]`);
  return [
    'stateDiagram-v2',
    `  [*] --> ${chart.initial}`,
    ...transitions,
    ...finalTransitions,
  ].join('\n');
}

interface LabelledTransition {
  readonly label: string;
  readonly target: string;
}

function listLabels(name: string, state: ChartState): LabelledTransition[] {
  return listTransitions(state).flatMap(([event, transitions]) =>
    transitions.map(transition => ({
      label: formatLabel(event, transition),
      target: transition.target ?? name,
    })),
  );
}

function formatLabel(event: string, transition: ChartTransition): string {
  const trigger = event.startsWith(TIMER_EVENT_PREFIX)
    ? `after ${event.slice(TIMER_EVENT_PREFIX.length)}`
    : event;
  const guard = transition.guard === undefined ? '' : ` [${transition.guard}]`;
  const actions = transition.actions?.length
    ? ` / ${transition.actions.join(', ')}`
    : '';
  return `${trigger}${guard}${actions}`;
}

function formatStateMark(
  chart: ChartDefinition,
  name: string,
  state: ChartState,
): string {
  if (name === chart.initial) return ' (initial)';
  return state.type === 'final' ? ' (final)' : '';
}
