/** Policies that choose the agent to which an entry sends a task. */
import type {DrawRandom} from '../core/clock.js';

/** What an entry knows of one agent. */
export interface AgentLoad {
  readonly id: string;
  readonly dataCentre: string;
  /** Tasks that the target runs at once. */
  readonly slots: number;
  /** Tasks that the agent lets wait for a slot. */
  readonly queueLimit: number;
  /** Tasks of all entries that ran at the agent's last report. */
  readonly running: number;
  /** Tasks of all entries that waited at the agent's last report. */
  readonly queued: number;
  /** Own tasks sent that the last report does not count. */
  readonly unreported: number;
  /** Own tasks sent whose end is not known. */
  readonly outstanding: number;
  /** Own tasks that may be outstanding; see `AgentHealth` and `computeRamp`. */
  readonly concurrencyLimit: number;
  /** Run time here over the fleet's; 1 is the usual speed, 2 half of it. */
  readonly slowness: number;
  /** Age of the last report in milliseconds. */
  readonly reportAgeMs: number;
}

/** What a policy needs to know of the task to be placed. */
export interface PlacementRequest {
  /** Run time that the entry expects on a target of slowness 1. */
  readonly expectedMs: number;
  /** Data centre of the entry. */
  readonly dataCentre: string;
  /** Mean run time of the tasks that occupy the slots. */
  readonly meanRunMs: number;
  /** Time until an ordinary slot is expected to be free if the task is held back. */
  readonly holdMs: number;
}

/** Returned by a policy when the task stays at the entry for now. */
export const NO_AGENT = -1;

/**
 * Returns the index of the chosen candidate, or `NO_AGENT` to hold the task
 * back. Every candidate has room as the policy's `CountRoom` counts it.
 */
export type ChooseAgent = (
  candidates: readonly AgentLoad[],
  task: PlacementRequest,
  drawRandom: DrawRandom,
) => number;

/** Returns how many more tasks an agent may be sent now; 0 or less is none. */
export type CountFreeCapacity = (agent: AgentLoad) => number;

/** Names of the policies in the settings. */
export enum PlacementKind {
  LEAST_LOADED = 'least-loaded',
  RANDOM = 'random',
  ROUND_ROBIN = 'round-robin',
  TWO_CHOICES = 'two-choices',
}

/** A policy: which agents have room, and which of these is chosen. */
export interface PlacementPolicy {
  readonly countFreeCapacity: CountFreeCapacity;
  /** Tells whether an agent belongs to the candidates that are tried first. */
  readonly isPreferred: (agent: AgentLoad) => boolean;
  readonly choose: ChooseAgent;
}

/** Creates the policy of that name. */
export function createPlacementPolicy(kind: PlacementKind): PlacementPolicy {
  switch (kind) {
    case PlacementKind.LEAST_LOADED:
      return {
        countFreeCapacity: countReportedCapacity,
        isPreferred: agent => countFreeSlots(agent) > 0,
        choose: chooseLeastLoaded,
      };
    case PlacementKind.RANDOM:
      return createBaseline(chooseRandom);
    case PlacementKind.ROUND_ROBIN:
      return createBaseline(createChooseRoundRobin());
    case PlacementKind.TWO_CHOICES:
      return createBaseline(chooseTwoChoices);
  }
}

function createBaseline(choose: ChooseAgent): PlacementPolicy {
  return {countFreeCapacity: countOwnCapacity, isPreferred: () => true, choose};
}

/** Slots per task that may wait at an agent, which hides the round trip. */
const SLOTS_PER_QUEUED_TASK = 8;

/** Round trip in milliseconds to an agent of another data centre. */
const DISTANT_ROUND_TRIP_MS = 3;

/** Cost in milliseconds of the last slot of a target, which others may take too. */
const CONTENTION_MS = 10;

/** Cost in milliseconds within which two agents count as equal. */
const TIE_MS = 1;

/** Share of the run time by which an agent may be slower before a task is held back. */
const HOLD_MARGIN = 0.25;

/** Number of candidates up to which all are compared. */
const SCAN_LIMIT = 64;

/** Number of candidates drawn for comparison when there are more. */
const SAMPLE_SIZE = 32;

/** Counts slots that no known task occupies; negative when tasks must wait. */
export function countFreeSlots(agent: AgentLoad): number {
  const known = agent.running + agent.queued + agent.unreported;
  return agent.slots - Math.max(known, agent.outstanding);
}

/** Counts room by the agent's report: free slots and a short queue. */
export function countReportedCapacity(agent: AgentLoad): number {
  const allowance = Math.min(
    agent.queueLimit,
    Math.ceil(agent.slots / SLOTS_PER_QUEUED_TASK),
  );
  return Math.min(
    countFreeSlots(agent) + allowance,
    agent.concurrencyLimit - agent.outstanding,
  );
}

/** Counts room by this entry's own tasks alone, as a plain balancer does. */
export function countOwnCapacity(agent: AgentLoad): number {
  return Math.min(
    agent.slots + agent.queueLimit - agent.outstanding,
    agent.concurrencyLimit - agent.outstanding,
  );
}

/** Chooses any candidate with the same chance. */
export const chooseRandom: ChooseAgent = (candidates, _task, drawRandom) =>
  candidates.length === 0 ? NO_AGENT : drawIndex(candidates.length, drawRandom);

/** Creates a policy that takes the candidates in turn. */
export function createChooseRoundRobin(): ChooseAgent {
  let lastId = '';
  return candidates => {
    if (candidates.length === 0) return NO_AGENT;
    const index = findNextId(candidates, lastId);
    lastId = candidates[index].id;
    return index;
  };
}

/** Draws two candidates and chooses the one with fewer own tasks out. */
export const chooseTwoChoices: ChooseAgent = (
  candidates,
  _task,
  drawRandom,
) => {
  if (candidates.length === 0) return NO_AGENT;
  const first = drawIndex(candidates.length, drawRandom);
  const second = drawIndex(candidates.length, drawRandom);
  const isFirst =
    countKnownTasks(candidates[first]) <= countKnownTasks(candidates[second]);
  return isFirst ? first : second;
};

/**
 * Chooses the agent on which the task is expected to end first.
 *
 * Equals are drawn by lot, so that several entries with the same reports do
 * not all choose the same agent. The task is held back when waiting for an
 * ordinary slot is expected to end it sooner than any candidate would: a slow
 * target is used only once the backlog makes it worth its while.
 */
export const chooseLeastLoaded: ChooseAgent = (
  candidates,
  task,
  drawRandom,
) => {
  const isSampled = candidates.length > SCAN_LIMIT;
  const draws = isSampled ? SAMPLE_SIZE : candidates.length;
  let best = NO_AGENT;
  let bestCost = Infinity;
  let ties = 0;
  for (let draw = 0; draw < draws; draw += 1) {
    const index = isSampled ? drawIndex(candidates.length, drawRandom) : draw;
    const cost = estimateEndMs(candidates[index], task);
    if (cost < bestCost - TIE_MS) {
      best = index;
      bestCost = cost;
      ties = 1;
    } else if (cost < bestCost + TIE_MS) {
      ties += 1;
      if (drawRandom() * ties < 1) best = index;
    }
  }
  return bestCost > estimateHeldEndMs(task) ? NO_AGENT : best;
};

/** Estimates the time until a result is back if the task waits for an ordinary slot. */
export function estimateHeldEndMs(task: PlacementRequest): number {
  const runMs = task.expectedMs * (1 + HOLD_MARGIN);
  return DISTANT_ROUND_TRIP_MS + CONTENTION_MS + task.holdMs + runMs;
}

/** Estimates the time from now until the task's result is back from an agent. */
export function estimateEndMs(
  agent: AgentLoad,
  task: PlacementRequest,
): number {
  const distanceMs =
    agent.dataCentre === task.dataCentre ? 0 : DISTANT_ROUND_TRIP_MS;
  const runMs = task.expectedMs * agent.slowness;
  return distanceMs + estimateStartDelayMs(agent, task) + runMs;
}

function estimateStartDelayMs(
  agent: AgentLoad,
  task: PlacementRequest,
): number {
  const free = countFreeSlots(agent);
  if (free > 0) {
    const occupied = 1 - (free - 1) / agent.slots;
    return CONTENTION_MS * occupied * occupied;
  }
  const ahead = 1 - free;
  return (
    CONTENTION_MS + (ahead * task.meanRunMs * agent.slowness) / agent.slots
  );
}

function countKnownTasks(agent: AgentLoad): number {
  const known = agent.running + agent.queued + agent.unreported;
  return Math.max(known, agent.outstanding) / agent.slots;
}

function drawIndex(length: number, drawRandom: DrawRandom): number {
  return Math.min(length - 1, Math.floor(drawRandom() * length));
}

function findNextId(candidates: readonly AgentLoad[], lastId: string): number {
  let next = NO_AGENT;
  let smallest = 0;
  for (let index = 0; index < candidates.length; index += 1) {
    const id = candidates[index].id;
    if (id < candidates[smallest].id) smallest = index;
    if (id <= lastId) continue;
    if (next === NO_AGENT || id < candidates[next].id) next = index;
  }
  return next === NO_AGENT ? smallest : next;
}
