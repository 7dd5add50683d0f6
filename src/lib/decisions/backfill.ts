/** Chooses the queued runs that start now: gaps are filled, the first run is not delayed. */
import {
  addResources,
  isWithinCapacity,
  NO_RESOURCES,
  subtractResources,
} from '../core/work_job.js';
import type {Resources} from '../core/work_job.js';
import type {ExpectedEnd} from './capacity_outlook.js';

/** A run that waits for capacity. */
export interface WaitingRun {
  readonly need: Resources;
  /** Expected run time in milliseconds on this target. */
  readonly runMs: number;
  /** Milliseconds since it first could not start as the first of the queue; 0 before. */
  readonly blockedMs: number;
  /** Milliseconds until its wait is over, and it is returned. */
  readonly patienceMs: number;
  /** Whether nothing may start beside it for a while. */
  readonly isIsolated: boolean;
}

/** The target that a queue waits for. */
export interface QueueTarget {
  /** Capacity that no run occupies; none while nothing may start. */
  readonly free: Resources;
  /** The expected ends of the runs on the target, the earliest first. */
  readonly ends: readonly ExpectedEnd[];
}

/** What a queue does now. */
export interface StartPlan<Run> {
  /** The runs that start now, in the order of their start. */
  readonly starts: readonly Run[];
  /** The first run that cannot start, which reserves the next capacity. */
  readonly first: Run | undefined;
}

/**
 * Time in milliseconds in which the first run may be overtaken after it could not
 * start. It is that of one or two small runs: the wait for small runs that take
 * longer than expected must not add up over a burst of them.
 */
export const MAX_OVERTAKING_MS = 150;

/** Factor on an expected run time, as estimates are up to 40 % off. */
const RUN_TIME_MARGIN = 1.3;

/** The capacity that the first run will take. */
interface Reservation {
  readonly inMs: number;
  /** What is left beside the first run at that time. */
  readonly spare: Resources;
}

/**
 * Chooses the runs that start now from a queue in the order of their latest start.
 *
 * The first run that does not fit reserves the earliest time at which it is expected
 * to fit. A later run starts before it only if it fits now, and is expected to end
 * (x 1.3) before that time or leaves room for the first run at that time. No run
 * overtakes if it cannot be told when the first run fits, and an isolated run never
 * does, since it would close the target to the first run. A run that is expected to
 * fit only after its patience reserves nothing: it will be returned, and behind it a
 * target with one long run would stand partly idle. One that was first keeps its place.
 *
 * The first run is overtaken for 150 ms at most after it could not start, whatever the
 * estimates say: from then on nothing starts before it, also no run that comes later
 * and has to start earlier. Of several such runs, the one that has waited longest is
 * first.
 */
export function chooseStarts<Run extends WaitingRun>(
  queue: readonly Run[],
  {free, ends}: QueueTarget,
): StartPlan<Run> {
  const ordered = orderQueue(queue);
  const starts: Run[] = [];
  let left = free;
  const take = (run: Run) => {
    starts.push(run);
    left = run.isIsolated ? NO_RESOURCES : subtractResources(left, run.need);
  };
  let first: Run | undefined;
  let reservation: Reservation | undefined;
  for (const run of ordered) {
    const isFitting = isWithinCapacity(run.need, left);
    if (first !== undefined) {
      if (reservation === undefined || isOvertakingOver(first)) break;
      if (run.isIsolated || !isFitting) continue;
      const {inMs, spare} = reservation;
      if (run.runMs * RUN_TIME_MARGIN > inMs) {
        if (!isWithinCapacity(run.need, spare)) continue;
        reservation = {inMs, spare: subtractResources(spare, run.need)};
      }
      take(run);
    } else if (isFitting) {
      take(run);
    } else {
      const opening = computeReservation(run, left, mergeEnds(ends, starts));
      if (isHopeless(run, opening)) continue;
      [first, reservation] = [run, opening];
    }
  }
  return {starts, first};
}

/**
 * Returns whether a run that has not been first yet fits only after its patience. One
 * that has been keeps its place, and with it the bound on its wait.
 */
function isHopeless(
  {blockedMs, patienceMs}: WaitingRun,
  opening: Reservation | undefined,
): boolean {
  return blockedMs === 0 && opening !== undefined && opening.inMs > patienceMs;
}

function isOvertakingOver({blockedMs}: WaitingRun): boolean {
  return blockedMs >= MAX_OVERTAKING_MS;
}

/** Puts the runs that may no longer be overtaken first, the longest blocked foremost. */
function orderQueue<Run extends WaitingRun>(
  queue: readonly Run[],
): readonly Run[] {
  const due = queue.filter(isOvertakingOver);
  if (due.length === 0) return queue;
  due.sort((a, b) => b.blockedMs - a.blockedMs);
  return [...due, ...queue.filter(run => !isOvertakingOver(run))];
}

/** Adds the expected ends of the runs that start now. */
function mergeEnds(
  ends: readonly ExpectedEnd[],
  starts: readonly WaitingRun[],
): readonly ExpectedEnd[] {
  if (starts.length === 0) return ends;
  const added = starts.map(({runMs, need}) => ({inMs: runMs, need}));
  return [...ends, ...added].sort((a, b) => a.inMs - b.inMs);
}

/** Returns the earliest expected time at which a run fits; undefined if there is none. */
function computeReservation(
  run: WaitingRun,
  free: Resources,
  ends: readonly ExpectedEnd[],
): Reservation | undefined {
  let available = free;
  for (const {inMs, need} of ends) {
    available = addResources(available, need);
    if (!isWithinCapacity(run.need, available)) continue;
    return {inMs, spare: subtractResources(available, run.need)};
  }
  return undefined;
}
