/** Generates the page of state charts from the chart files. */
import {drawChartAsMermaid} from '../src/lib/cli/chart_drawing.js';
import {getChart, listChartNames} from '../src/lib/cli/chart_files.js';
import type {ChartDefinition, ChartState} from '../src/lib/core/chart_file.js';
import {formatMarkdownTable, GENERATED_NOTE} from './docs_markdown.js';

/** Composes the text of `docs/CHARTS.md`. */
export function composeChartsPage(): string {
  const sections = listChartNames().map(name =>
    composeChartSection(name, getChart(name)),
  );
  return [
    '# State charts',
    '',
    GENERATED_NOTE,
    '',
    'Each life cycle is a file in [`charts/`](../charts/README.md) that the',
    'programs interpret. An arrow reads `event [guard] / actions`; `after` marks a',
    'timer that runs while the state lasts.',
    ...sections,
    '',
  ].join('\n');
}

function composeChartSection(name: string, chart: ChartDefinition): string {
  const rows = Object.entries(chart.states).map(([state, body]) => [
    `\`${state}\``,
    describeState(body),
  ]);
  return [
    '',
    `## ${name}`,
    chart.description,
    '',
    '```mermaid',
    drawChartAsMermaid(chart),
    '```',
    '',
    formatMarkdownTable(['state', 'meaning'], rows),
  ].join('\n');
}

function describeState(state: ChartState): string {
  const description = state.description ?? '';
  return state.type === 'final' ? `${description} (final)`.trim() : description;
}
