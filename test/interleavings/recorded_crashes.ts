/** Sequences of crashes that broke a rule when they were recorded, shortened as far as possible. */
import {DEFAULTS} from './recorded_sequences.js';
import type {RecordedSequence} from './recorded_sequences.js';
import {WorkStepKind} from './work_step.js';
import type {WorkStep} from './work_step.js';

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

/** Six tasks of 3 s run on four targets that crash at once and are back in 4 s. */
export const LONG_TASKS: RecordedSequence = {
  name: 'long tasks',
  seed: 1,
  rules: {grants: false, isIdKept: false, isCutRefused: false},
  steps: [
    {...DEFAULTS, kind: WorkStepKind.SUBMIT, tasks: 3, runMs: 3000},
    {
      ...DEFAULTS,
      kind: WorkStepKind.SUBMIT,
      tasks: 3,
      runMs: 3000,
      afterMs: 300,
    },
    {...DEFAULTS, kind: WorkStepKind.CRASH_RACK, tasks: 3},
  ],
};

/** Creates the crash of one target. */
function createCrash(agent: number, durationMs: number, afterMs = 0): WorkStep {
  const kind = WorkStepKind.CRASH_TARGET;
  return {...DEFAULTS, kind, agent, durationMs, afterMs};
}

/** A life of 700 ms crashes; the next one takes a start before it has said that it is up. */
export const YOUNG_LIFE: RecordedSequence = {
  name: 'young life',
  seed: 1,
  rules: {grants: false, isIdKept: true, isCutRefused: false},
  steps: [
    createCrash(0, 1000, 1700),
    createCrash(0, 100, 118),
    {...DEFAULTS, kind: WorkStepKind.SUBMIT, tasks: 3, runMs: 600},
  ],
};

/** The same on two targets: no life crashes under the task that both of the next ones take. */
export const YOUNG_LIVES: RecordedSequence = {
  name: 'young lives',
  seed: 6,
  rules: {grants: false, isIdKept: true, isCutRefused: false},
  steps: [
    createCrash(0, 1000),
    createCrash(1, 1000),
    createCrash(2, 1000),
    createCrash(3, 1000, 1700),
    createCrash(0, 100),
    createCrash(1, 120),
    createCrash(2, 140),
    createCrash(3, 160, 118),
    {...DEFAULTS, kind: WorkStepKind.SUBMIT, runMs: 600},
  ],
};
