/** Sequences that broke the rule TWICE when they were recorded, shortened as far as possible. */
import {CutKind} from './link_faults.js';
import type {TargetRules} from './virtual_work_fleet.js';
import {WorkStepKind} from './work_step.js';
import type {WorkStep} from './work_step.js';

/** A recorded sequence; what it meets depends on the seed as well. */
export interface RecordedSequence {
  readonly name: string;
  readonly seed: number;
  readonly rules: TargetRules;
  readonly steps: readonly WorkStep[];
}

/** What all steps have that do not say otherwise. */
export const DEFAULTS: Omit<WorkStep, 'kind'> = {
  agent: 0,
  entry: 0,
  afterMs: 0,
  durationMs: 100,
  runMs: 100,
  tasks: 1,
  sharePercent: 5,
  cut: CutKind.BREAK,
};

/** The recorded sequences, one for each cause. */
export const RECORDED_SEQUENCES: readonly RecordedSequence[] = [
  {
    name: 'a refused stop is taken for an accepted one',
    seed: 140,
    rules: {grants: false, isIdKept: false, isCutRefused: false},
    steps: [
      {...DEFAULTS, kind: WorkStepKind.SUBMIT, agent: 1, runMs: 3434, tasks: 2},
      {...DEFAULTS, kind: WorkStepKind.SUBMIT, entry: 1, runMs: 4968, tasks: 3},
      {
        ...DEFAULTS,
        kind: WorkStepKind.REFUSE_CALLS,
        agent: 1,
        afterMs: 1299,
        durationMs: 1971,
        sharePercent: 42,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.RESTART_ENTRY,
        agent: 1,
        entry: 1,
        durationMs: 1112,
      },
    ],
  },
  {
    name: 'a start reaches the next life before its first heartbeat',
    seed: 16,
    rules: {grants: false, isIdKept: true, isCutRefused: false},
    steps: [
      {
        ...DEFAULTS,
        kind: WorkStepKind.CRASH_TARGET,
        agent: 1,
        entry: 1,
        afterMs: 1670,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.CRASH_TARGET,
        agent: 1,
        afterMs: 450,
        durationMs: 470,
      },
      {...DEFAULTS, kind: WorkStepKind.SUBMIT, agent: 1, runMs: 755},
    ],
  },
  {
    name: 'a late start reaches the next life',
    seed: 482,
    rules: {grants: false, isIdKept: true, isCutRefused: false},
    steps: [
      {...DEFAULTS, kind: WorkStepKind.CRASH_TARGET, durationMs: 383},
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        entry: 1,
        afterMs: 615,
        runMs: 4751,
        tasks: 3,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        afterMs: 687,
        runMs: 522,
        tasks: 2,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUSPEND_AGENT,
        entry: 1,
        afterMs: 899,
        durationMs: 2452,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        agent: 1,
        entry: 1,
        afterMs: 73,
        runMs: 58,
        tasks: 2,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.LOSE_CALLS,
        agent: 1,
        entry: 1,
        durationMs: 1500,
        sharePercent: 30,
      },
      {...DEFAULTS, kind: WorkStepKind.SUBMIT, entry: 1, runMs: 2837},
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        entry: 1,
        afterMs: 3117,
        runMs: 2932,
        tasks: 2,
      },
      {...DEFAULTS, kind: WorkStepKind.CRASH_TARGET, agent: 1, entry: 1},
    ],
  },
  {
    name: 'late renewals keep the runs of a frozen agent alive',
    seed: 367,
    rules: {grants: true, isIdKept: true, isCutRefused: false},
    steps: [
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        agent: 1,
        afterMs: 380,
        runMs: 155,
        tasks: 2,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        agent: 1,
        afterMs: 511,
        runMs: 1939,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        entry: 1,
        afterMs: 70,
        runMs: 4956,
        tasks: 2,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        agent: 1,
        entry: 1,
        afterMs: 481,
        runMs: 798,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.CRASH_TARGET,
        agent: 1,
        entry: 1,
        durationMs: 1046,
      },
      {...DEFAULTS, kind: WorkStepKind.RESTART_AGENT, agent: 1, afterMs: 245},
      {
        ...DEFAULTS,
        kind: WorkStepKind.LOSE_CALLS,
        agent: 1,
        afterMs: 251,
        durationMs: 1500,
        sharePercent: 44,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        agent: 1,
        afterMs: 294,
        runMs: 317,
        tasks: 2,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.LOSE_CALLS,
        agent: 1,
        afterMs: 203,
        durationMs: 1500,
        sharePercent: 30,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        agent: 1,
        afterMs: 317,
        runMs: 243,
      },
      {...DEFAULTS, kind: WorkStepKind.LOSE_CALLS, agent: 1, afterMs: 71},
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        agent: 1,
        entry: 1,
        afterMs: 2238,
        runMs: 4256,
        tasks: 3,
      },
      {
        ...DEFAULTS,
        kind: WorkStepKind.FREEZE_AGENT,
        agent: 1,
        entry: 1,
        durationMs: 1604,
      },
    ],
  },
  {
    name: 'refused connections are taken for the end of a target',
    seed: 2,
    rules: {grants: false, isIdKept: false, isCutRefused: true},
    steps: [
      {...DEFAULTS, kind: WorkStepKind.SUBMIT, agent: 2, runMs: 800, tasks: 2},
      {...DEFAULTS, kind: WorkStepKind.SUBMIT, agent: 3, runMs: 182},
      {
        ...DEFAULTS,
        kind: WorkStepKind.REFUSE_CALLS,
        agent: 3,
        sharePercent: 34,
      },
      {...DEFAULTS, kind: WorkStepKind.SUBMIT, entry: 1, runMs: 810, tasks: 3},
    ],
  },
  {
    name: 'an agent stands still that was to stop the runs of a killed entry',
    seed: 2467,
    rules: {grants: true, isIdKept: true, isCutRefused: false},
    steps: [
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUBMIT,
        agent: 3,
        afterMs: 310,
        runMs: 4999,
        tasks: 3,
      },
      {...DEFAULTS, kind: WorkStepKind.RESTART_ENTRY, agent: 3, afterMs: 611},
      {
        ...DEFAULTS,
        kind: WorkStepKind.SUSPEND_AGENT,
        agent: 2,
        entry: 1,
        durationMs: 2047,
      },
    ],
  },
];
