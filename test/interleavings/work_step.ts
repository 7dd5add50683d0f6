/** The steps of a sequence of faults, and how they are drawn. */
import fc from 'fast-check';
import {CUT_KINDS} from './link_faults.js';
import type {CutKind} from './link_faults.js';
import {AGENTS, ENTRIES} from './site_names.js';
import type {CrashLoad} from './task_load.js';

/** What happens in a step. */
export enum WorkStepKind {
  SUBMIT = 'submit',
  FREEZE_AGENT = 'freeze-agent',
  SUSPEND_AGENT = 'suspend-agent',
  RESTART_AGENT = 'restart-agent',
  FREEZE_ENTRY = 'freeze-entry',
  RESTART_ENTRY = 'restart-entry',
  CUT_LINK = 'cut-link',
  RESET_CALLERS = 'reset-callers',
  LOSE_CALLS = 'lose-calls',
  REFUSE_CALLS = 'refuse-calls',
  CRASH_TARGET = 'crash-target',
  /** Another writer sends a message to an agent. */
  FOREIGN_MESSAGE = 'foreign-message',
  /** The link of an agent to an entry is reset again and again. */
  RESET_LINKS = 'reset-links',
  /** Streams between an agent and an entry fall behind, each for itself. */
  DELAY_STREAMS = 'delay-streams',
  /** A job whose first task crashes the targets that run it. */
  SUBMIT_CRASHING = 'submit-crashing',
  /** Several targets crash at once. */
  CRASH_RACK = 'crash-rack',
  /** A target says that it drains, and leaves. */
  DRAIN_TARGET = 'drain-target',
  /** A target says that it drains, and ends a second later without a word. */
  NOTICE_TARGET = 'notice-target',
}

/** Kinds of steps that sequences of their own play. */
const SPECIAL_KINDS: ReadonlySet<WorkStepKind> = new Set([
  WorkStepKind.FOREIGN_MESSAGE,
  WorkStepKind.RESET_LINKS,
  WorkStepKind.DELAY_STREAMS,
  WorkStepKind.SUBMIT_CRASHING,
  WorkStepKind.CRASH_RACK,
  WorkStepKind.DRAIN_TARGET,
  WorkStepKind.NOTICE_TARGET,
]);

/** All kinds but those that sequences of their own play. */
export const FAULT_KINDS: readonly WorkStepKind[] = Object.values(
  WorkStepKind,
).filter(kind => !SPECIAL_KINDS.has(kind));

/** One step of a sequence. */
export interface WorkStep {
  readonly kind: WorkStepKind;
  readonly agent: number;
  readonly entry: number;
  /** Time from this step to the next one. */
  readonly afterMs: number;
  readonly durationMs: number;
  readonly runMs: number;
  readonly tasks: number;
  readonly sharePercent: number;
  readonly cut: CutKind;
  /** How the first task of a submitted job crashes its targets. */
  readonly crash?: CrashLoad;
}

/** Numbers of steps of a sequence. */
export const LENGTHS = {minLength: 8, maxLength: 30};

/** Creates sequences of steps of some kinds among submissions. */
export function createWorkSteps(
  kinds: readonly WorkStepKind[],
  cuts: readonly CutKind[] = CUT_KINDS,
): fc.Arbitrary<WorkStep[]> {
  return fc.array(fc.record(createStepModel(kinds, cuts)), LENGTHS);
}

/** Creates the fields of a step of some kinds. */
export function createStepModel(
  kinds: readonly WorkStepKind[],
  cuts: readonly CutKind[] = CUT_KINDS,
) {
  return {
    kind: fc.oneof(
      {weight: 5, arbitrary: fc.constant(WorkStepKind.SUBMIT)},
      {weight: 6, arbitrary: fc.constantFrom(...kinds)},
    ),
    agent: fc.integer({min: 0, max: AGENTS.length - 1}),
    entry: fc.integer({min: 0, max: ENTRIES.length - 1}),
    afterMs: fc.integer({min: 0, max: 700}),
    durationMs: fc.integer({min: 100, max: 3000}),
    runMs: fc.oneof(
      {weight: 2, arbitrary: fc.integer({min: 40, max: 800})},
      {weight: 1, arbitrary: fc.integer({min: 800, max: 5000})},
    ),
    tasks: fc.integer({min: 1, max: 3}),
    sharePercent: fc.integer({min: 5, max: 50}),
    cut: fc.constantFrom(...cuts),
  };
}
