/** Plays a sequence of faults against a virtual site. */
import {CallFate} from './call_spells.js';
import {VirtualTime} from './virtual_time.js';
import {AGENTS, ENTRIES} from './site_names.js';
import {VirtualWorkFleet} from './virtual_work_fleet.js';
import type {TargetRules} from './virtual_work_fleet.js';
import {WorkStepKind} from './work_step.js';
import type {WorkStep} from './work_step.js';

/** Time in which late orders arrive and all jobs end. */
const QUIET_MS = 16_000;

/** Times in milliseconds between the word of a target that it drains and its end. */
const DRAIN_MS = 2500;
const NOTICE_MS = 1000;

/** Times in milliseconds after which the targets of a rack are back. */
const MIN_DOWN_MS = 100;
const MAX_ADDED_DOWN_MS = 3900;

/** Longest time in milliseconds until the connections to a crashed target break. */
const MAX_NOTICE_MS = 30;

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
  fleet.disturbances.record(step);
  switch (kind) {
    case WorkStepKind.SUBMIT:
      fleet.callers.submit(entry, step.tasks, step.runMs);
      break;
    case WorkStepKind.SUBMIT_CRASHING:
      fleet.callers.submit(entry, step.tasks, step.runMs, step.crash);
      break;
    case WorkStepKind.CRASH_RACK:
      killRack(fleet, step);
      break;
    case WorkStepKind.DRAIN_TARGET:
      fleet.targets[agent].drain(DRAIN_MS, durationMs, true);
      break;
    case WorkStepKind.NOTICE_TARGET:
      fleet.targets[agent].drain(NOTICE_MS, durationMs, false);
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
      fleet.targets[agent].spells.add(CallFate.UNANSWERED, share, durationMs);
      break;
    case WorkStepKind.REFUSE_CALLS:
      fleet.targets[agent].spells.add(refusal, share, durationMs);
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

/** Crashes targets at once; their agents see it one by one, and each is back by itself. */
function killRack(
  {targets, drawRandom}: VirtualWorkFleet,
  {agent, tasks}: WorkStep,
): void {
  for (let offset = 0; offset <= tasks; offset += 1) {
    const target = targets[(agent + offset) % targets.length];
    const downMs = MIN_DOWN_MS + drawRandom() * MAX_ADDED_DOWN_MS;
    target.restart(Math.round(downMs), drawRandom() * MAX_NOTICE_MS);
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
