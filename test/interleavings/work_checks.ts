/** Checks of a virtual site after a sequence of faults. */
import {expect} from 'chai';
import fc from 'fast-check';
import {JobEnd} from '../../src/lib/core/work_job.js';
import type {TargetRules, VirtualWorkFleet} from './virtual_work_fleet.js';
import {runWorkTrial} from './work_trial.js';
import type {WorkStep} from './work_step.js';

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

/** What is played, and how often. */
export interface SequenceOptions {
  readonly seed: number;
  readonly runs: number;
  readonly rules: TargetRules;
  readonly arbitrary: fc.Arbitrary<WorkStep[]>;
  /** Checks a site after each sequence, beside `checkFleet`. */
  readonly check?: (fleet: VirtualWorkFleet) => void | Promise<void>;
}

/** Plays random sequences, each of which must break no rule. */
export async function checkSequences({
  seed,
  runs,
  rules,
  arbitrary,
  check = () => undefined,
}: SequenceOptions): Promise<void> {
  let completed = 0;
  await fc.assert(
    fc.asyncProperty(fc.integer(), arbitrary, async (trialSeed, steps) => {
      const fleet = await runWorkTrial(trialSeed, steps, rules);
      completed += countCompleted(fleet);
      checkFleet(fleet);
      await check(fleet);
    }),
    // Without shrinking, which would take minutes; the seed repeats the failure.
    {seed, numRuns: runs, endOnFailure: true},
  );
  expect(completed).to.be.greaterThan(runs);
}
