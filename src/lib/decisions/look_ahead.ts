/** Looks ahead on one target: when its capacity comes free, and what starts now. */
import type {CapacityStep} from '../core/work_frames.js';
import {isWithinCapacity, NO_RESOURCES} from '../core/work_job.js';
import type {Resources} from '../core/work_job.js';
import {chooseStarts} from './backfill.js';
import type {StartPlan, WaitingRun} from './backfill.js';
import {computeOutlook, listExpectedEnds} from './capacity_outlook.js';
import type {OccupyingRun} from './capacity_outlook.js';
import {
  computeIsolationRest,
  isExpired,
  isOccupying,
  RunState,
} from './held_run.js';
import type {HeldRun} from './held_run.js';

/** The runs of a target and its capacity. */
export interface HeldCapacity {
  /** All runs that have not ended. */
  readonly runs: readonly HeldRun[];
  /** Capacity that no run occupies. */
  readonly unoccupied: Resources;
}

/** The target that queued runs wait for. */
export interface PlannedTarget extends Pick<HeldCapacity, 'runs'> {
  /** Capacity that no run occupies; none while a run is isolated. */
  readonly free: Resources;
  readonly nowMs: number;
}

/**
 * Plans what starts of a queue in the order of the latest start. Runs whose patience is
 * over and that do not start are to be ended in the same turn.
 */
export type PlanStarts = (
  queue: readonly HeldRun[],
  target: PlannedTarget,
) => StartPlan<HeldRun>;

interface PlannedRun extends WaitingRun {
  readonly held: HeldRun;
}

/**
 * Creates a plan that fills gaps, see `chooseStarts`.
 *
 * @param getSlowness Returns the average ratio of run time to estimate.
 */
export function createBackfillPlan(getSlowness: () => number): PlanStarts {
  return (queue, {runs, free, nowMs}) => {
    if (queue.length === 0) return {starts: [], first: undefined};
    const slowness = getSlowness();
    const ends = listExpectedEnds(listOccupying(runs), nowMs, slowness);
    let waiting = queue.map(held => convertQueued(held, nowMs, slowness));
    for (;;) {
      const {starts, first} = chooseStarts(waiting, {free, ends});
      // The first run reserves nothing once its patience is over: it ends in this turn.
      if (first === undefined || !isExpired(first.held, nowMs)) {
        return {starts: starts.map(({held}) => held), first: first?.held};
      }
      waiting = waiting.filter(run => run !== first);
    }
  };
}

/**
 * Computes when capacity comes free beyond what queued orders need. Nothing is expected
 * while the runs exceed the capacity, since each order is returned at once then.
 */
export function computeHeldOutlook(
  {runs, unoccupied}: HeldCapacity,
  slowness: number,
  nowMs: number,
): CapacityStep[] {
  if (!isWithinCapacity(NO_RESOURCES, unoccupied)) return [];
  let freeMilli = unoccupied.cpuMilli;
  let closedMs = 0;
  for (const run of runs) {
    if (isOccupying(run)) {
      closedMs = Math.max(closedMs, computeIsolationRest(run, nowMs));
    } else {
      freeMilli -= run.order.need.cpuMilli;
    }
  }
  const start = {slowness, freeMilli, closedMs};
  return computeOutlook(listOccupying(runs), nowMs, start);
}

/** Lists the runs whose end can be expected; that of an uncertain one cannot. */
function listOccupying(runs: readonly HeldRun[]): OccupyingRun[] {
  const occupying: OccupyingRun[] = [];
  for (const run of runs) {
    if (!isOccupying(run) || run.state === RunState.UNCERTAIN) continue;
    const {order, percent, advancedAtMs, stoppingSinceMs} = run;
    occupying.push({
      need: order.need,
      estimateMs: order.estimateMs,
      startedAtMs: run.acceptedAtMs > 0 ? run.acceptedAtMs : run.startSentAtMs,
      percent,
      advancedAtMs,
      stoppingSinceMs,
    });
  }
  return occupying;
}

function convertQueued(
  held: HeldRun,
  nowMs: number,
  slowness: number,
): PlannedRun {
  const {order, blockedSinceMs = nowMs, isIsolated} = held;
  return {
    held,
    need: order.need,
    runMs: order.estimateMs * slowness,
    blockedMs: nowMs - blockedSinceMs,
    isIsolated,
  };
}
