/** Checks of a virtual site after a sequence in which targets have crashed. */
import {expect} from 'chai';
import {JobEnd} from '../../src/lib/core/work_job.js';
import type {TaskHistory} from './crash_monitor.js';
import {RULE} from './virtual_callers.js';
import type {VirtualJob} from './virtual_callers.js';
import type {VirtualWorkFleet} from './virtual_work_fleet.js';
import {checkFleet} from './work_checks.js';

/** Crashes of targets under a task after which it may be given up. */
const CRASHES_UNTIL_GIVEN_UP = 2;

/** Crashes of targets under a task after which its starts are counted. */
const CRASHES_UNTIL_COUNTED = 3;

/** Starts after these crashes that break the rule BUDGET. */
const STARTS_OVER_BUDGET = 3;

/** Expects that no rule was broken; which ones, see `checkFleet` and here. */
export function checkCrashes(fleet: VirtualWorkFleet): void {
  checkFleet(fleet);
  for (const job of fleet.callers.jobs) checkFailure(fleet, job);
  for (const [task, history] of fleet.crashes.list()) {
    checkBudget(fleet, task, history);
  }
}

/** Expects that each job ended as completed, but those under which targets crashed twice. */
export function checkUse(fleet: VirtualWorkFleet): void {
  for (const job of fleet.callers.jobs) {
    const histories = fleet.crashes.listJob(job.id);
    if (histories.some(({crashes}) => crashes.length >= 2)) continue;
    if (job.answer?.end === JobEnd.COMPLETED) continue;
    failCheck(fleet, `USE: job ${job.id}: ${describe(job)}`, job.id);
  }
}

/** Expects that a job that crashes targets whenever it runs ends as failed. */
export function checkGivenUp(fleet: VirtualWorkFleet): void {
  for (const job of fleet.callers.jobs) {
    if (job.crash === undefined || job.crash.crashesAtMost === 1) continue;
    if (job.answer?.end === JobEnd.FAILED) continue;
    failCheck(fleet, `USE: deadly job ${job.id}: ${describe(job)}`, job.id);
  }
}

function checkFailure(fleet: VirtualWorkFleet, job: VirtualJob): void {
  const failure = job.answers.find(({answer}) => answer.end === JobEnd.FAILED);
  if (failure === undefined) return;
  const {atMs} = failure;
  const isProven = fleet.crashes.listJob(job.id).some(history => {
    const crashes = history.crashes.filter(crash => crash.atMs <= atMs);
    const failures = history.failedAtMs.filter(
      failedAtMs => failedAtMs <= atMs,
    );
    return (
      crashes.length >= CRASHES_UNTIL_GIVEN_UP ||
      failures.length >= (RULE.attemptsAtMost ?? Infinity)
    );
  });
  if (isProven) return;
  const text = `LOST: job ${job.id} is shown as failed at ${Math.round(atMs)}`;
  failCheck(fleet, text, job.id);
}

function checkBudget(
  fleet: VirtualWorkFleet,
  task: string,
  {crashes, starts}: TaskHistory,
): void {
  if (crashes.length < CRASHES_UNTIL_COUNTED) return;
  const sinceMs = crashes[CRASHES_UNTIL_COUNTED - 1].atMs;
  const counted = starts.filter(({run, atMs}) => {
    const agent = fleet.targets.findIndex(({id}) => id === run.target);
    const isInTouch = fleet.disturbances.isInTouch(agent, atMs);
    return atMs > sinceMs && !run.isLate && isInTouch;
  });
  if (counted.length < STARTS_OVER_BUDGET) return;
  const text = `BUDGET: ${task}, ${counted.length} starts after three crashes`;
  failCheck(fleet, text, task);
}

function describe({answer}: VirtualJob): string {
  if (answer === undefined) return 'no answer';
  return `${answer.end}, ${answer.reason}`;
}

function failCheck(
  {trace}: VirtualWorkFleet,
  text: string,
  name: string,
): never {
  const lines = trace
    .filter(
      line => line.includes(name) || / STEP |crash|born|leaves/.test(line),
    )
    // The log writes some lines only at the end of their run.
    .sort((a, b) => parseFloat(a) - parseFloat(b));
  expect.fail(`${text}\n${lines.join('\n')}`);
}
