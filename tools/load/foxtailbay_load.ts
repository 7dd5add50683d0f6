/** Runs the load of a settings file and writes its result and report. */
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
import {summariseRun} from './run_summary.js';
import type {RunSummary} from './run_summary.js';

interface Options {
  readonly settings: string;
  readonly output: string;
  readonly repeats?: string;
  readonly policy?: PlacementKind;
}

/** Lists the variants of all repeats, so that each repeat compares all of them. */
function listVariants(settings: LoadSettings, options: Options): RunVariant[] {
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

async function runVariants(
  settings: LoadSettings,
  variants: readonly RunVariant[],
): Promise<RunSummary[]> {
  const summaries: RunSummary[] = [];
  for (const variant of variants) {
    const summary = summariseRun(settings, await runLoad(settings, variant));
    summaries.push(summary);
    const {policy, order, seed} = variant;
    process.stderr.write(
      `${settings.name}: ${policy}, ${order}, seed ${seed}: ratio ` +
        `${summary.ratio.median} p99 ${summary.ratio.p99}, ` +
        `ends ${JSON.stringify(summary.ends)}\n`,
    );
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
  .parse();

const options = program.opts<Options>();
const settings = readSettings(options.settings, LOAD_SETTINGS_SCHEMA);
const summaries = await runVariants(settings, listVariants(settings, options));
mkdirSync(options.output, {recursive: true});
const path = join(options.output, settings.name);
writeFileSync(`${path}.json`, JSON.stringify({settings, summaries}, null, 1));
writeFileSync(`${path}.html`, buildReport(settings, summaries));
process.stdout.write(`${formatTable(summaries)}\n`);
