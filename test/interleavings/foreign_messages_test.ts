// Guards against two runs of one task, and against targets that get no work any more, when
// another writer's heartbeats and deregistrations arrive among the faults of a site.
import {expect} from 'chai';
import {checkSequences, RULES} from './work_checks.js';
import type {VirtualWorkFleet} from './virtual_work_fleet.js';
import {createWorkSteps, FAULT_KINDS, WorkStepKind} from './work_step.js';

const SEED = Number(process.env.FOXTAILBAY_SEED ?? 20261205);
/** Sequences per rule, so that CI takes under 20 s on a busy machine. */
const RUNS = Number(process.env.FOXTAILBAY_RUNS ?? 15);

/** Tasks that fill all targets, and a run time in which all of them have started. */
const ALL_TASKS = 8;
const RUN_MS = 2000;

const {FOREIGN_MESSAGE, SUBMIT} = WorkStepKind;

/** Other writers alone, and other writers among all faults. */
const KINDS = [
  [SUBMIT, FOREIGN_MESSAGE],
  [...FAULT_KINDS, ...Array.from({length: 6}, () => FOREIGN_MESSAGE)],
];

/** Checks that each target still gets work. */
async function checkTargets(fleet: VirtualWorkFleet): Promise<void> {
  const {monitor, callers, targets, time} = fleet;
  callers.submit(0, ALL_TASKS, RUN_MS);
  await time.advanceTo(time.nowMs + RUN_MS / 2);
  const running = targets.map(({life}) => life?.runs.size ?? 0);
  expect(running, fleet.trace.slice(-200).join('\n')).to.deep.equal(
    targets.map(() => ALL_TASKS / targets.length),
  );
  expect(monitor.violations).to.deep.equal([]);
}

describe('Agents that receive messages of other writers', () => {
  for (const kinds of KINDS) {
    for (const rules of RULES) {
      const text = `${kinds.length} kinds, ${JSON.stringify(rules)}`;
      it(`run each task once, ${text} (seed ${SEED})`, async function () {
        this.timeout(120_000 * Math.ceil(RUNS / 15));
        await checkSequences({
          seed: SEED,
          runs: RUNS,
          rules,
          arbitrary: createWorkSteps(kinds),
          check: checkTargets,
        });
      });
    }
  }
});
