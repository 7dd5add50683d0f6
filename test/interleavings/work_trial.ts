/** Plays a sequence of faults against a virtual site. */
import fc from 'fast-check';
import {CUT_KINDS} from './link_faults.js';
import type {CutKind} from './link_faults.js';
import {CallFate} from './virtual_target.js';
import {VirtualTime} from './virtual_time.js';
import {AGENTS, ENTRIES, VirtualWorkFleet} from './virtual_work_fleet.js';
import type {TargetRules} from './virtual_work_fleet.js';

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
}

/** Kinds of steps that sequences of their own play. */
const SPECIAL_KINDS: ReadonlySet<WorkStepKind> = new Set([
  WorkStepKind.FOREIGN_MESSAGE,
  WorkStepKind.RESET_LINKS,
  WorkStepKind.DELAY_STREAMS,
]);

/** All kinds but the messages of other writers and the troubles of single streams. */
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
}

/** Time in which late orders arrive and all jobs end. */
const QUIET_MS = 16_000;

/** Creates sequences of steps of some kinds among submissions. */
export function createWorkSteps(
  kinds: readonly WorkStepKind[],
  cuts: readonly CutKind[] = CUT_KINDS,
): fc.Arbitrary<WorkStep[]> {
  return fc.array(
    fc.record({
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
    }),
    {minLength: 8, maxLength: 30},
  );
}

/** Plays a sequence; returns the site after it has come to rest. */
export async function runWorkTrial(
  seed: number,
  steps: readonly WorkStep[],
  rules: TargetRules,
): Promise<VirtualWorkFleet> {
  const time = VirtualTime.create();
  const drawRandom = createRandom(seed);
  const fleet = VirtualWorkFleet.create({...rules, time, drawRandom});
  await time.advanceTo(time.nowMs + 3500);
  for (const step of steps) {
    performStep(fleet, step, rules);
    await time.advanceTo(time.nowMs + step.afterMs);
  }
  await time.advanceTo(time.nowMs + QUIET_MS);
  return fleet;
}

function performStep(
  fleet: VirtualWorkFleet,
  step: WorkStep,
  rules: TargetRules,
): void {
  const {kind, agent, entry, durationMs, sharePercent} = step;
  const share = sharePercent / 100;
  const refusal = rules.isCutRefused ? CallFate.UNREACHABLE : CallFate.REFUSED;
  fleet.record(`STEP ${JSON.stringify(step)}`);
  switch (kind) {
    case WorkStepKind.SUBMIT:
      fleet.callers.submit(entry, step.tasks, step.runMs);
      break;
    case WorkStepKind.FREEZE_AGENT:
      fleet.findAgent(agent).pause(durationMs);
      break;
    case WorkStepKind.SUSPEND_AGENT:
      fleet.findAgent(agent).pauseWithClock(durationMs);
      break;
    case WorkStepKind.RESTART_AGENT:
      fleet.restartAgent(agent, durationMs);
      break;
    case WorkStepKind.FREEZE_ENTRY:
      fleet.findEntry(entry).pause(durationMs);
      break;
    case WorkStepKind.RESTART_ENTRY:
      fleet.restartEntry(entry, durationMs);
      break;
    case WorkStepKind.CUT_LINK:
      fleet.links.cut(AGENTS[agent], ENTRIES[entry], step.cut, durationMs);
      break;
    case WorkStepKind.RESET_CALLERS:
      fleet.callers.reset(entry);
      break;
    case WorkStepKind.LOSE_CALLS:
      fleet.targets[agent].addSpell(CallFate.UNANSWERED, share, durationMs);
      break;
    case WorkStepKind.REFUSE_CALLS:
      fleet.targets[agent].addSpell(refusal, share, durationMs);
      break;
    case WorkStepKind.CRASH_TARGET:
      fleet.targets[agent].restart(durationMs);
      break;
    case WorkStepKind.RESET_LINKS:
      fleet.links.reset(AGENTS[agent], ENTRIES[entry], durationMs);
      break;
    case WorkStepKind.DELAY_STREAMS:
      fleet.links.pauseStreams(
        AGENTS[agent],
        ENTRIES[entry],
        share,
        durationMs,
      );
      break;
    case WorkStepKind.FOREIGN_MESSAGE:
      fleet.sendForeignMessage(agent);
      break;
  }
}

/** Mulberry32, which makes a run repeatable by its seed. */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
