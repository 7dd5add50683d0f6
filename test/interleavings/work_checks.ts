/** Checks of a virtual site after a sequence of faults. */
import {expect} from 'chai';
import {JobEnd} from '../../src/lib/core/work_job.js';
import type {TargetRules, VirtualWorkFleet} from './virtual_work_fleet.js';

/**
 * Rules of the random sequences. Without cuts that refuse connections: agent and
 * target share a host, so nothing listens there if a connection is refused.
 */
export const RULES: readonly TargetRules[] = [
  {grants: false, isIdKept: false, isCutRefused: false},
  {grants: true, isIdKept: false, isCutRefused: false},
  {grants: false, isIdKept: true, isCutRefused: false},
  {grants: true, isIdKept: true, isCutRefused: false},
];

/** Counts the jobs that were answered as completed. */
export function countCompleted({callers}: VirtualWorkFleet): number {
  const answers = callers.jobs.map(({answer}) => answer?.end);
  return answers.filter(end => end === JobEnd.COMPLETED).length;
}

/** Expects that no rule was broken and no exception was thrown. */
export function checkFleet(fleet: VirtualWorkFleet): void {
  expect(fleet.failures).to.deep.equal([]);
  const [violation] = fleet.monitor.violations;
  if (violation === undefined) return;
  const {task} = violation.started;
  const lines = fleet.trace
    .filter(line => line.includes(task) || line.includes(' STEP '))
    .filter(line => parseFloat(line) <= violation.atMs + 1)
    // The log writes some lines only at the end of their run.
    .sort((a, b) => parseFloat(a) - parseFloat(b));
  expect.fail(`${violation.rule}\n${lines.join('\n')}`);
}
