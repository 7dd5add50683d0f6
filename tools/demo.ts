/**
 * Demonstration of a running system: `npm run demo`.
 *
 * Runs `scenarios/demo.yaml`: two data centres, two entries, four agents with
 * their targets, and a store, as separate processes on loopback. Jobs run while
 * one data centre is taken out of service and put back. Progress is written to
 * standard error; the last line of standard output is a JSON summary. The exit
 * code is 0 only if every check passes.
 */
import {computeSummary} from './demo_summary.js';
import {isComplete} from './scenario/violations.js';
import type {EvidenceCollector} from './scenario/evidence_collector.js';
import {readScenario} from './scenario/read_scenario.js';
import {runScenario} from './scenario/run_scenario.js';

const DRAIN_CHANGE_NAME = 'taken-out';
const SCENARIO_FILE = new URL('../../scenarios/demo.yaml', import.meta.url);

function show(line: string): void {
  process.stderr.write(`${line}\n`);
}

function showProgress(collector: EvidenceCollector): void {
  const submissions = collector.listSubmissions();
  const completeCount = submissions.filter(isComplete).length;
  show(
    `           ${completeCount} of ${submissions.length} responses are complete`,
  );
}

const report = await runScenario(readScenario(SCENARIO_FILE), {
  show,
  showProgress,
});
const summary = computeSummary(report.evidence, DRAIN_CHANGE_NAME);
const isMet = report.isMet && summary.jobs > 0 && summary.jobsFailed === 0;
process.stdout.write(`${JSON.stringify({...summary, ok: isMet})}\n`);
process.exitCode = isMet ? 0 : 1;
