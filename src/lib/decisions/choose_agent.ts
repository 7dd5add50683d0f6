/** Placement policies: choose the agent to which an entry sends a task. */
import type {DrawRandom} from '../core/clock.js';

/** Load of one agent as an entry knows it. */
export interface AgentLoad {
  readonly id: string;
  readonly dataCentre: string;
  /** Tasks that the target runs concurrently. */
  readonly slots: number;
  /** Tasks that may wait at the agent for a slot. */
  readonly queueLimit: number;
  /** Running tasks of all entries at the agent's last report. */
  readonly running: number;
  /** Queued tasks of all entries at the agent's last report. */
  readonly queued: number;
  /** Tasks sent by this entry that the last report does not include. */
  readonly unreported: number;
  /** Tasks sent by this entry whose end is not known. */
  readonly outstanding: number;
  /** Limit of `outstanding`; see `AgentHealth` and `limitByRamp`. */
  readonly concurrencyLimit: number;
  /** Ratio of the run time here to that of the fleet; 2 means half the typical speed. */
  readonly slowness: number;
  /** Age of the last report in milliseconds. */
  readonly reportAgeMs: number;
}

/** A task that is to be placed, and what the policy compares agents by. */
export interface PlacementRequest {
  /** Expected run time in milliseconds on a target of slowness 1. */
  readonly expectedMs: number;
  /** Data centre of the entry. */
  readonly dataCentre: string;
  /** Mean run time in milliseconds of the tasks that occupy the slots. */
  readonly meanRunMs: number;
  /** Expected time in milliseconds until a typical slot is free if the task waits. */
  readonly slotWaitMs: number;
}

/** Returned by a policy if the task is to wait at the entry. */
export const NO_AGENT = -1;

/**
 * Returns the index of the chosen candidate, or `NO_AGENT` if the task is to
 * wait. Every candidate has free capacity by the policy's `CountFreeCapacity`.
 */
export type ChooseAgent = (
  candidates: readonly AgentLoad[],
  task: PlacementRequest,
  drawRandom: DrawRandom,
) => number;

/** Returns how many more tasks an agent may be sent now; none if 0 or less. */
export type CountFreeCapacity = (agent: AgentLoad) => number;

/** Policies by their names in the settings. */
export enum PlacementKind {
  LEAST_LOADED = 'least-loaded',
  RANDOM = 'random',
  ROUND_ROBIN = 'round-robin',
  TWO_CHOICES = 'two-choices',
}

/** A policy: which agents have free capacity, and which of them is chosen. */
export interface PlacementPolicy {
  readonly countFree: CountFreeCapacity;
  /** Returns whether an agent is among the candidates that are tried first. */
  readonly isPreferred: (agent: AgentLoad) => boolean;
  readonly choose: ChooseAgent;
}

/** Creates the policy of that name. */
export function createPlacementPolicy(kind: PlacementKind): PlacementPolicy {
  switch (kind) {
    case PlacementKind.LEAST_LOADED:
      return {
        countFree: countReportedCapacity,
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
  return {countFree: countOwnCapacity, isPreferred: () => true, choose};
}

/** Slots per task that may wait at an agent; a short queue hides the round trip. */
const SLOTS_PER_QUEUED_TASK = 8;

/** Round-trip time in milliseconds to an agent of another data centre. */
const DISTANT_ROUND_TRIP_MS = 3;

/** Cost in milliseconds of a target's last slot, which other entries may use too. */
const CONTENTION_MS = 10;

/** Difference in milliseconds below which two agents count as equal. */
const TIE_MS = 1;

/** Share of the run time by which an agent may be slower before a task waits instead. */
const WAIT_MARGIN = 0.25;

/** Number of candidates up to which all are compared. */
const SCAN_LIMIT = 64;

/** Number of candidates drawn for comparison when there are more. */
const SAMPLE_SIZE = 32;

/** Counts slots that no known task occupies; negative if tasks have to wait. */
export function countFreeSlots(agent: AgentLoad): number {
  const known = agent.running + agent.queued + agent.unreported;
  return agent.slots - Math.max(known, agent.outstanding);
}

/** Counts free capacity by the agent's report: free slots and a short queue. */
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

/** Counts free capacity by this entry's own tasks alone, as a plain load balancer does. */
export function countOwnCapacity(agent: AgentLoad): number {
  return Math.min(
    agent.slots + agent.queueLimit - agent.outstanding,
    agent.concurrencyLimit - agent.outstanding,
  );
}

/** Chooses a candidate uniformly at random. */
export const chooseRandom: ChooseAgent = (candidates, _task, drawRandom) =>
  candidates.length === 0 ? NO_AGENT : drawIndex(candidates.length, drawRandom);

/** Creates a round-robin policy. */
export function createChooseRoundRobin(): ChooseAgent {
  let lastId = '';
  return candidates => {
    if (candidates.length === 0) return NO_AGENT;
    const index = findNextId(candidates, lastId);
    lastId = candidates[index].id;
    return index;
  };
}

/** Draws two candidates and chooses the one with fewer known tasks per slot. */
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
 * Ties are broken at random, so that several entries with the same reports do
 * not all choose the same agent. The task waits if waiting for a typical slot
 * is expected to end it sooner than any candidate: a slow target is used only
 * once the backlog justifies it.
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
  return bestCost > estimateEndAfterWaitMs(task) ? NO_AGENT : best;
};

/** Estimates the time until the result arrives if the task waits for a typical slot. */
export function estimateEndAfterWaitMs(task: PlacementRequest): number {
  const runMs = task.expectedMs * (1 + WAIT_MARGIN);
  return DISTANT_ROUND_TRIP_MS + CONTENTION_MS + task.slotWaitMs + runMs;
}

/** Estimates the time until the task's result arrives from an agent. */
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
