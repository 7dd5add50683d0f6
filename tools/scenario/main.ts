/** Runs scenario files and prints their timelines: `npm run scenario -- FILE...`. */
import {readScenario} from './read_scenario.js';
import {runScenario} from './run_scenario.js';

const files = process.argv.slice(2);
if (files.length === 0) {
  process.stderr.write('Usage: npm run scenario -- FILE...\n');
  process.exitCode = 2;
}
for (const file of files) {
  const show = (line: string) => process.stdout.write(`${line}\n`);
  const report = await runScenario(readScenario(file), {show});
  if (!report.isMet) process.exitCode = 1;
}
