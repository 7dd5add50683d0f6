/**
 * Shows the system at work: `npm run demo`.
 *
 * Plays `scenarios/demo.yaml`: two data centres, two entries, four agents and
 * targets and a store as separate processes on loopback; jobs run while one
 * data centre is taken out and brought back. Progress goes to standard error;
 * the last line on standard output is JSON. Exits with 0 only if every check
 * holds.
 */
import {computeSummary} from './demo_summary.js';
import {isWhole} from './scenario/findings.js';
import type {Observer} from './scenario/observer.js';
import {readScenario} from './scenario/read_scenario.js';
import {runScenario} from './scenario/run_scenario.js';

const DRAIN_CHANGE_NAME = 'taken-out';
const SCENARIO_FILE = new URL('../../scenarios/demo.yaml', import.meta.url);

function show(line: string): void {
  process.stderr.write(`${line}\n`);
}

function showProgress(observer: Observer): void {
  const submissions = observer.listSubmissions();
  const completeCount = submissions.filter(isWhole).length;
  show(`           ${completeCount} of ${submissions.length} answers are whole`);
}

const report = await runScenario(readScenario(SCENARIO_FILE), {show, showProgress});
const summary = computeSummary(report.evidence, DRAIN_CHANGE_NAME);
const isMet = report.isMet && summary.jobs > 0 && summary.jobsFailed === 0;
process.stdout.write(`${JSON.stringify({...summary, ok: isMet})}\n`);
process.exitCode = isMet ? 0 : 1;
