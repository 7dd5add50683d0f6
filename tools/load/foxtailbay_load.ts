/** Command `foxtailbay-load`: runs an experiment and writes its result and report. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {program} from 'commander';
import {PlacementKind} from '../../src/lib/decisions/choose_agent.js';
import {readSettings} from '../../src/lib/settings/read_settings.js';
import {buildReport, formatTable} from './load_report.js';
import {LOAD_SETTINGS_SCHEMA} from './load_settings.js';
import type {LoadSettings} from './load_settings.js';
import {runLoad} from './run_load.js';
import type {RunVariant} from './run_load.js';
import {measureRun} from './run_summary.js';
import type {RunSummary} from './run_summary.js';

interface CommandOptions {
  readonly settings: string;
  readonly output: string;
  readonly repeats?: string;
  readonly policy?: PlacementKind;
  readonly together: string;
}

/** Lists the variants to run, repeat by repeat, so that each repeat compares all of them. */
function listVariants(
  settings: LoadSettings,
  options: CommandOptions,
): RunVariant[] {
  const repeats = Number(options.repeats ?? settings.repeats);
  const policies =
    options.policy === undefined ? settings.policies : [options.policy];
  return Array.from({length: repeats}, (_, repeat) =>
    policies.flatMap(policy =>
      settings.orders.map(order => ({
        policy,
        order,
        seed: settings.seed + repeat,
      })),
    ),
  ).flat();
}

async function runVariant(
  settings: LoadSettings,
  variant: RunVariant,
): Promise<RunSummary> {
  const summary = measureRun(settings, await runLoad(settings, variant));
  const {policy, order, seed} = variant;
  process.stderr.write(
    `${settings.name}: ${policy}, ${order}, seed ${seed}: ratio ` +
      `${summary.ratio.median} p99 ${summary.ratio.p99}, ` +
      `ends ${JSON.stringify(summary.ends)}\n`,
  );
  return summary;
}

/** Runs the variants in groups of `together` concurrent fleets. */
async function runVariants(
  settings: LoadSettings,
  variants: readonly RunVariant[],
  together: number,
): Promise<RunSummary[]> {
  const summaries: RunSummary[] = [];
  for (let first = 0; first < variants.length; first += together) {
    const group = variants.slice(first, first + together);
    const runs = group.map(variant => runVariant(settings, variant));
    for (const run of await Promise.allSettled(runs)) {
      if (run.status === 'fulfilled') summaries.push(run.value);
      else process.stderr.write(`Run failed: ${String(run.reason)}\n`);
    }
  }
  return summaries;
}

program
  .name('foxtailbay-load')
  .description('Runs loads against fleets of real processes on loopback.')
  .requiredOption('--settings <file>', 'settings of the load')
  .option('--output <folder>', 'folder for result and report', 'docs/reports')
  .option('--repeats <number>', 'runs of each variant')
  .option('--policy <name>', 'only this policy')
  .option('--together <number>', 'fleets that run concurrently', '1')
  .parse();

const options = program.opts<CommandOptions>();
const settings = readSettings(options.settings, LOAD_SETTINGS_SCHEMA);
const summaries = await runVariants(
  settings,
  listVariants(settings, options),
  Number(options.together),
);
mkdirSync(options.output, {recursive: true});
const path = join(options.output, settings.name);
writeFileSync(`${path}.json`, JSON.stringify({settings, summaries}, null, 1));
writeFileSync(`${path}.html`, buildReport(settings, summaries));
process.stdout.write(`${formatTable(summaries)}\n`);
