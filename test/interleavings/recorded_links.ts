/** Sequences about the links of agents that broke the rule TWICE when they were recorded. */
import {CutKind} from './link_faults.js';
import {DEFAULTS} from './recorded_sequences.js';
import type {RecordedSequence} from './recorded_sequences.js';
import type {TargetRules} from './virtual_work_fleet.js';
import {WorkStepKind} from './work_step.js';
import type {WorkStep} from './work_step.js';

const RULES: TargetRules = {
  grants: false,
  isIdKept: false,
  isCutRefused: false,
};

/** Fills most of the targets. */
const SUBMIT: WorkStep = {
  ...DEFAULTS,
  kind: WorkStepKind.SUBMIT,
  runMs: 3000,
  tasks: 3,
};

/** The recorded sequences, one for each cause and way to it. */
export const RECORDED_LINKS: readonly RecordedSequence[] = [
  {
    name: 'a link that opens is taken for contact, and frames get lost',
    seed: 1,
    rules: RULES,
    steps: [
      {...SUBMIT, afterMs: 300},
      {
        ...DEFAULTS,
        kind: WorkStepKind.CUT_LINK,
        agent: 2,
        durationMs: 2500,
        cut: CutKind.LOSE_TO_ENTRY,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.RESET_LINKS,
        agent: 2,
        durationMs: 2500,
      },
    ],
  },
  {
    name: 'a link that opens is taken for contact, and frames are held',
    seed: 10,
    rules: RULES,
    steps: [
      {...SUBMIT, entry: 1, afterMs: 422, runMs: 2852},
      {
        ...DEFAULTS,
        kind: WorkStepKind.CUT_LINK,
        agent: 1,
        entry: 1,
        durationMs: 2832,
        cut: CutKind.HOLD_AFTER_OPEN,
      },
    ],
  },
  {
    name: 'the hello of an older link arrives after that of a newer one',
    seed: 16,
    rules: RULES,
    steps: [
      {
        ...DEFAULTS,
        kind: WorkStepKind.DELAY_STREAMS,
        durationMs: 400,
        sharePercent: 50,
      },
      {...DEFAULTS, kind: WorkStepKind.RESET_LINKS, afterMs: 900},
      SUBMIT,
      SUBMIT,
    ],
  },
  {
    name: 'two links to one entry replace each other',
    seed: 2,
    rules: {...RULES, isEntryKnownTwice: true},
    steps: [{...SUBMIT, runMs: 1000, tasks: 2}],
  },
  {
    name: 'the hello of an earlier life of an agent arrives after that of a later one',
    seed: 16,
    rules: RULES,
    steps: [
      {
        ...DEFAULTS,
        kind: WorkStepKind.DELAY_STREAMS,
        durationMs: 250,
        sharePercent: 50,
      },
      {...DEFAULTS, kind: WorkStepKind.RESET_LINKS, afterMs: 200},
      {...DEFAULTS, kind: WorkStepKind.RESTART_AGENT, afterMs: 1750},
      SUBMIT,
      {...SUBMIT, runMs: 2000},
    ],
  },
];
