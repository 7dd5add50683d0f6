// Guards against two runs of one task where one side counts on what the other has not proven:
// links that open on a path that carries frames one way only, and frames that arrive seconds late.
import {ONE_WAY_CUT_KINDS} from './link_faults.js';
import {RECORDED_LINKS} from './recorded_links.js';
import {checkFleet, checkSequences, RULES} from './work_checks.js';
import {createWorkSteps, WorkStepKind} from './work_step.js';
import {runWorkTrial} from './work_trial.js';

const SEED = Number(process.env.FOXTAILBAY_SEED ?? 20261205);
/** Sequences per case, so that CI takes a few seconds. */
const RUNS = Number(process.env.FOXTAILBAY_RUNS ?? 15);

const {SUBMIT, CUT_LINK, RESET_LINKS, DELAY_STREAMS, RESTART_AGENT} =
  WorkStepKind;
const [RULE] = RULES;

const CASES = [
  {
    name: 'links that carry frames one way open again and again',
    kinds: [SUBMIT, CUT_LINK, RESET_LINKS],
    rules: RULE,
  },
  {
    name: 'the hello of an older stream arrives after that of a newer one',
    kinds: [SUBMIT, DELAY_STREAMS, RESET_LINKS],
    rules: RULE,
  },
  {
    name: 'the agents know each entry under two addresses',
    kinds: [SUBMIT, RESET_LINKS],
    rules: {...RULE, isEntryKnownTwice: true},
  },
  {
    name: 'the hello of an earlier life arrives after that of a later one',
    kinds: [SUBMIT, DELAY_STREAMS, RESTART_AGENT],
    rules: RULE,
  },
];

describe('Entries and agents that count on a link', () => {
  for (const {name, kinds, rules} of CASES) {
    it(`run each task once where ${name} (seed ${SEED})`, async function () {
      this.timeout(120_000 * Math.ceil(RUNS / 15));
      const arbitrary = createWorkSteps(kinds, ONE_WAY_CUT_KINDS);
      await checkSequences({seed: SEED, runs: RUNS, rules, arbitrary});
    });
  }

  for (const {name, seed, rules, steps} of RECORDED_LINKS) {
    it(`run each task once where ${name}`, async () => {
      checkFleet(await runWorkTrial(seed, steps, rules));
    });
  }
});
