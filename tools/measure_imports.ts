/** Measures the resident memory and start-up time that each dependency adds. */
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {formatMarkdownTable} from './docs_markdown.js';

const SAMPLES_PER_MODULE = 5;
const BYTES_PER_MB = 1e6;

/** Memory and import time of one process. */
interface Sample {
  readonly residentMb: number;
  readonly startMs: number;
}

const {dependencies} = JSON.parse(readFileSync('package.json', 'utf8')) as {
  dependencies: Readonly<Record<string, string>>;
};
const baseline = measureImport('node:process');
const rows = ['node:http', ...Object.keys(dependencies)].map(name => {
  const sample = measureImport(name);
  return [
    `\`${name}\``,
    (sample.residentMb - baseline.residentMb).toFixed(1),
    (sample.startMs - baseline.startMs).toFixed(0),
  ];
});
process.stdout.write(
  `Bare process: ${baseline.residentMb.toFixed(1)} MB, ${baseline.startMs.toFixed(0)} ms\n\n` +
    `${formatMarkdownTable(['module', 'MB more', 'ms more'], rows)}\n`,
);

/** Returns the medians over several new processes that each import one module. */
function measureImport(name: string): Sample {
  const samples = Array.from({length: SAMPLES_PER_MODULE}, () =>
    measureProcess(name),
  );
  return {
    residentMb: findMedian(samples.map(sample => sample.residentMb)),
    startMs: findMedian(samples.map(sample => sample.startMs)),
  };
}

function measureProcess(name: string): Sample {
  const script =
    `const before = performance.now(); await import(${JSON.stringify(name)});` +
    'const startMs = performance.now() - before;' +
    'setTimeout(() => console.log(JSON.stringify({startMs, rss: process.memoryUsage.rss()})), 100);';
  const {stdout} = spawnSync(process.execPath, [
    '--input-type=module',
    '--eval',
    script,
  ]);
  const {startMs, rss} = JSON.parse(String(stdout)) as {
    startMs: number;
    rss: number;
  };
  return {startMs, residentMb: rss / BYTES_PER_MB};
}

function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)];
}
