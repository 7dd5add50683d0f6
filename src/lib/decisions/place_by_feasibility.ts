/** Places a task according to the deadline feasibility of its job. */
import {chooseFastest, chooseProbe, chooseShortestQueue} from './place_task.js';
import type {
  ChooseTarget,
  PlacementRequest,
  PlacementTarget,
} from './place_task.js';
import {Feasibility} from './rank_work.js';

/** A task that is waiting for placement. */
export interface WaitingTask {
  readonly need: PlacementRequest;
  readonly feasibility: Feasibility;
  /** Time in milliseconds until the answer is worthless to the caller. */
  readonly usefulMs: number;
  /** Whether other tasks of the job have been started. */
  readonly isJobStarted: boolean;
  /** Whether the task has another attempt left if this run fails. */
  readonly canProbe: boolean;
}

/**
 * Share of all processors that is reserved from work that is already late.
 * Otherwise, after an outage, the late jobs of several seconds fill every target
 * at once, and each new job waits until it is late as well.
 */
const LATE_RESERVE = 0.12;

/** Share that is reserved from work whose answer is worthless to the caller. */
const WORTHLESS_RESERVE = 0.25;

/**
 * Chooses a target. Work that can be in time is placed only on a target that is
 * expected to end it in time. A slower target is left to work that is late anyway,
 * since a faster target of a busy fleet has free capacity within milliseconds.
 *
 * @param chooseAhead Chooses among full targets that tell when capacity comes free;
 *     without it, and for targets that do not tell, the shortest queue is chosen.
 */
export function choosePlacement(
  task: WaitingTask,
  targets: readonly PlacementTarget[],
  chooseTarget: ChooseTarget,
  chooseAhead?: ChooseTarget,
): PlacementTarget | undefined {
  const {need, canProbe} = task;
  const probe = canProbe ? chooseProbe(need, targets) : undefined;
  if (probe !== undefined) return probe;
  if (task.feasibility === Feasibility.IN_TIME) {
    return (
      chooseTarget(need, targets) ?? chooseFull(need, targets, chooseAhead)
    );
  }
  const reserve =
    task.feasibility === Feasibility.LATE ? LATE_RESERVE : WORTHLESS_RESERVE;
  if (!task.isJobStarted && !hasSpareCapacity(need, targets, reserve)) {
    return undefined;
  }
  const lateRequest = {...need, timeLeftMs: task.usefulMs};
  return chooseTarget(lateRequest, targets) ?? chooseFastest(need, targets);
}

function chooseFull(
  need: PlacementRequest,
  targets: readonly PlacementTarget[],
  chooseAhead: ChooseTarget | undefined,
): PlacementTarget | undefined {
  if (chooseAhead === undefined) return chooseShortestQueue(need, targets);
  const silent = targets.filter(({outlook}) => outlook === undefined);
  return chooseAhead(need, targets) ?? chooseShortestQueue(need, silent);
}

function hasSpareCapacity(
  need: PlacementRequest,
  targets: readonly PlacementTarget[],
  reserve: number,
): boolean {
  let free = -need.spec.need.cpuMilli;
  let capacity = 0;
  for (const target of targets) {
    if (target.isSuspect) continue;
    free += Math.max(0, target.free.cpuMilli);
    capacity += target.capacity.cpuMilli;
  }
  return free >= capacity * reserve;
}
