/** Builds the report of a load: an HTML page with tables and plots. */
import type {LoadSettings} from './load_settings.js';
import type {RunSummary} from './run_summary.js';

/** The runs of one variant. */
export interface VariantRuns {
  readonly name: string;
  readonly runs: readonly RunSummary[];
}

/** Median, minimum and maximum of a measure. */
export interface Spread {
  readonly median: number;
  readonly least: number;
  readonly greatest: number;
}

const COLOURS = ['#1b6ca8', '#c0392b', '#27ae60', '#8e44ad', '#d68910'];
const WIDTH = 640;
const HEIGHT = 300;
const MARGIN = 45;

/** Upper end of the vertical axis of a plot; larger ratios are drawn there. */
const MAX_PLOTTED_RATIO = 6;

/** Columns of the table: heading and the function that reads the value from a run. */
export const COLUMNS: ReadonlyArray<
  readonly [heading: string, read: (run: RunSummary) => number]
> = [
  ['ratio median', run => run.ratio.median],
  ['ratio p99', run => run.ratio.p99],
  ['response p99 ms', run => run.responseMs.p99],
  ['complete %', run => (100 * (run.ends['complete'] ?? 0)) / run.jobs],
  ['goodput %', run => 100 * run.goodputShare],
  ['value/s', run => run.valuePerSecond],
  ['wasted/task', run => run.wastedPerTask ?? NaN],
  ['refusal p99 ms', run => run.refusalMs.p99],
  ['entry ms/task', run => run.entryProcessorMsPerTask],
];

/** Groups runs into variants by policy and job order. */
export function collectVariants(runs: readonly RunSummary[]): VariantRuns[] {
  const groups = new Map<string, RunSummary[]>();
  for (const run of runs) {
    const name = `${run.variant.policy}, ${run.variant.order}`;
    groups.set(name, [...(groups.get(name) ?? []), run]);
  }
  return [...groups].map(([name, list]) => ({name, runs: list}));
}

/** Computes the spread of one measure over the runs of a variant. */
export function describeSpread(
  variant: VariantRuns,
  read: (run: RunSummary) => number,
): Spread {
  const sorted = variant.runs.map(read).sort((a, b) => a - b);
  return {
    median: sorted[Math.floor(sorted.length / 2)],
    least: sorted[0],
    greatest: sorted[sorted.length - 1],
  };
}

/** Formats the table as Markdown, which is also readable in a terminal. */
export function formatTable(runs: readonly RunSummary[]): string {
  const headings = ['variant', 'runs', ...COLUMNS.map(([name]) => name)];
  const lines = collectVariants(runs).map(variant => [
    variant.name,
    `${variant.runs.length}`,
    ...COLUMNS.map(([, read]) => formatSpread(describeSpread(variant, read))),
  ]);
  const rows = [headings, headings.map(() => '---'), ...lines];
  return rows.map(row => `| ${row.join(' | ')} |`).join('\n');
}

/** Builds the report as a single HTML page without scripts. */
export function buildReport(
  settings: LoadSettings,
  runs: readonly RunSummary[],
): string {
  const variants = collectVariants(runs);
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${settings.name}</title>
<style>body{font:14px sans-serif;margin:2em}td,th{border:1px solid #bbb;padding:3px 7px}
table{border-collapse:collapse}svg{border:1px solid #ddd;margin:8px}</style></head>
<body><h1>${settings.name}</h1>
<p>Median of the runs (least to greatest). Ratio: response over ideal.</p>
${buildTable(runs)}
<h2>Response over ideal, by percentile of jobs</h2>
${buildPlot(variants, run => run.ratioCurve.map(([x, y]) => [x, y]))}
<h2>Largest response over ideal of the jobs of each second</h2>
${buildPlot(variants, run => run.ratioBySecond.map(([x, , y]) => [x, y]))}
<h2>Settings</h2><pre>${JSON.stringify(settings, undefined, 1)}</pre>
</body></html>
`;
}

function buildTable(runs: readonly RunSummary[]): string {
  const [headings, , ...lines] = formatTable(runs)
    .split('\n')
    .map(line => line.slice(2, -2).split(' | '));
  const buildRow = (cells: readonly string[], tag: string) =>
    `<tr>${cells.map(cell => `<${tag}>${cell}</${tag}>`).join('')}</tr>`;
  const body = lines.map(cells => buildRow(cells, 'td')).join('\n');
  return `<table>${buildRow(headings, 'th')}\n${body}</table>`;
}

function buildPlot(
  variants: readonly VariantRuns[],
  read: (run: RunSummary) => Array<[number, number]>,
): string {
  const points = variants.flatMap(variant => variant.runs.flatMap(read));
  const maxX = Math.max(1, ...points.map(([x]) => x));
  const lines = variants.flatMap((variant, index) =>
    variant.runs.map(run => buildLine(read(run), maxX, pickColour(index))),
  );
  const legend = variants.map((variant, index) => {
    const y = MARGIN / 2 + 15 * index;
    return `<text x="${MARGIN + 10}" y="${y}" fill="${pickColour(index)}">${variant.name}</text>`;
  });
  const gridLines = [1, 2, 3, 4, 5, 6].map(ratio => {
    const y = scaleY(ratio);
    return `<line x1="${MARGIN}" x2="${WIDTH}" y1="${y}" y2="${y}" stroke="#eee"/><text x="8" y="${y + 4}">${ratio}</text>`;
  });
  const end = `<text x="${WIDTH - 40}" y="${HEIGHT - 8}">${maxX}</text>`;
  return `<svg width="${WIDTH}" height="${HEIGHT}">${[...gridLines, ...lines, ...legend, end].join('\n')}</svg>`;
}

function buildLine(
  points: ReadonlyArray<readonly [number, number]>,
  maxX: number,
  colour: string,
): string {
  const path = points
    .map(([x, y]) => {
      const plotX = MARGIN + (x / maxX) * (WIDTH - MARGIN);
      return `${plotX.toFixed(1)},${scaleY(y).toFixed(1)}`;
    })
    .join(' ');
  return `<polyline points="${path}" fill="none" stroke="${colour}" stroke-opacity="0.7"/>`;
}

function scaleY(ratio: number): number {
  const share = Math.min(ratio, MAX_PLOTTED_RATIO) / MAX_PLOTTED_RATIO;
  return HEIGHT - MARGIN - share * (HEIGHT - 1.5 * MARGIN);
}

function pickColour(index: number): string {
  return COLOURS[index % COLOURS.length];
}

function formatSpread(spread: Spread): string {
  const {median, least, greatest} = spread;
  if (Number.isNaN(median)) return 'not counted';
  const format = (figure: number) =>
    figure >= 100 ? figure.toFixed(0) : figure.toPrecision(3);
  if (least === greatest) return format(median);
  return `${format(median)} (${format(least)} to ${format(greatest)})`;
}
