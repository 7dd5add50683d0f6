/** Command line of the fault soak. */
import {InvalidArgumentError, program} from 'commander';
import {runSoak} from './run_soak.js';
import type {SoakResult} from './run_soak.js';

interface Options {
  readonly seeds: readonly number[];
  readonly entries: number;
  readonly agents: number;
  readonly dataCentres: number;
  readonly seconds: number;
  readonly keep: boolean;
}

const MS_PER_S = 1000;

/** Log lines that a failed seed prints for each violation. */
const MAX_LOG_LINES = 200;

/** Violations that a failed seed prints in full. */
const MAX_VIOLATIONS = 3;

program
  .name('soak')
  .description('Runs the real programs under faults drawn from seeds.')
  .option('--seeds <range>', 'seeds, such as 7 or 1-50', parseSeeds, [1])
  .option('--entries <count>', 'number of entries', parseCount, 3)
  .option('--agents <count>', 'number of agents', parseCount, 8)
  .option('--data-centres <count>', 'number of data centres', parseCount, 2)
  .option('--seconds <count>', 'duration of the faults', parseCount, 15)
  .option('--keep', 'keep settings and logs', false)
  .parse();

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}

const {seeds, ...options} = program.opts<Options>();
const {entries, agents, dataCentres, seconds, keep} = options;
const failed: number[] = [];
for (const seed of seeds) {
  const size = {entries, agents, dataCentres};
  const durationMs = seconds * MS_PER_S;
  const result = await runSoak({size, seed, durationMs, isKept: keep});
  print(result);
  if (result.violations.length > 0) failed.push(seed);
}
const list = failed.length > 0 ? `: ${failed.join(', ')}` : '';
console.log(`${failed.length} of ${seeds.length} seeds failed${list}`);
process.exit(failed.length > 0 ? 1 : 0);

function print(result: SoakResult): void {
  const {seed, violations, faults, folder} = result;
  const verdict = violations.length > 0 ? 'FAILED' : 'passed';
  console.log(
    `seed ${seed} ${verdict}: ${faults.length} faults, ` +
      `${result.jobsServed} jobs served, ${result.jobsNotServed} not, ` +
      `${result.runs} runs, ${result.runsRepeated} repeated, ` +
      `${result.runsDone} done, event loop late by ${result.maxDelayMs} ms at most` +
      (folder === '' ? '' : `, logs in ${folder}`),
  );
  if (violations.length === 0) return;
  for (const fault of faults) console.log(`  fault at ${fault}`);
  for (const [index, {rule, detail, logLines}] of violations.entries()) {
    console.log(`  ${rule}: ${detail}`);
    if (index >= MAX_VIOLATIONS) continue;
    for (const line of logLines.slice(0, MAX_LOG_LINES)) {
      console.log(`    ${line}`);
    }
  }
}

function parseSeeds(text: string): readonly number[] {
  const [, first, last = first] = /^(\d+)(?:-(\d+))?$/.exec(text) ?? [];
  const count = Number(last) - Number(first) + 1;
  if (first === undefined || count < 1) {
    throw new InvalidArgumentError('Not a seed or a range of seeds.');
  }
  return Array.from({length: count}, (_, index) => Number(first) + index);
}

function parseCount(text: string): number {
  if (!/^[1-9]\d*$/.test(text)) {
    throw new InvalidArgumentError('Not a positive integer.');
  }
  return Number(text);
}
