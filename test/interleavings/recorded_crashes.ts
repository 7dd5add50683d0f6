/** Sequences of crashes that broke a rule when they were recorded, shortened as far as possible. */
import {DEFAULTS} from './recorded_sequences.js';
import type {RecordedSequence} from './recorded_sequences.js';
import {WorkStepKind} from './work_step.js';

/** The only task of a job is placed on a target that crashed at the same time. */
export const LATE_NOTICE: RecordedSequence = {
  name: 'late notice',
  seed: 19,
  rules: {grants: false, isIdKept: false, isCutRefused: false},
  steps: [
    {...DEFAULTS, kind: WorkStepKind.SUBMIT, runMs: 1000, afterMs: 130},
    {...DEFAULTS, kind: WorkStepKind.CRASH_RACK, tasks: 3},
  ],
};

/** One of three tasks is placed on a target that crashed at the same time. */
export const LATE_NOTICE_BESIDE_OTHERS: RecordedSequence = {
  name: 'late notice beside others',
  seed: 26,
  rules: {grants: false, isIdKept: false, isCutRefused: false},
  steps: [
    {
      ...DEFAULTS,
      kind: WorkStepKind.SUBMIT,
      runMs: 1000,
      tasks: 3,
      afterMs: 56,
    },
    {...DEFAULTS, kind: WorkStepKind.CRASH_RACK, tasks: 2},
  ],
};
