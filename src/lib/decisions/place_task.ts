/** Placement policies: choose the target on which a task runs. */
import type {CapacityStep} from '../core/work_frames.js';
import {isWithinCapacity} from '../core/work_job.js';
import type {Resources, StepSpec} from '../core/work_job.js';

/** State of a target that placement decisions use. */
export interface PlacementTarget {
  /** Incarnation of the agent that controls the target. */
  readonly agent: string;
  /** Incarnation of the target. */
  readonly life: string;
  readonly labels: readonly string[];
  /** Free capacity, less what orders in flight need. */
  readonly free: Resources;
  readonly capacity: Resources;
  /** Average ratio of run time to estimate. */
  readonly slowness: number;
  readonly isSuspect: boolean;
  /** When capacity is expected to come free, from now; absent if it is not known. */
  readonly outlook?: readonly CapacityStep[];
}

/** Requirements of a task that is to be placed. */
export interface PlacementRequest {
  readonly spec: StepSpec;
  /** Time in milliseconds within which the run has to end to meet the objective. */
  readonly timeLeftMs: number;
  /** Incarnations of targets on which a run of the task failed. */
  readonly excludedTargets: ReadonlySet<string>;
  /** Returns the number of current runs of the same step on an agent's target. */
  readonly countOn: (agent: string) => number;
  /** Factor on the run time outside the preferred rack. */
  readonly farFactor: number;
}

/** Chooses a target for the task; undefined if none is suitable. */
export type ChooseTarget = (
  request: PlacementRequest,
  targets: readonly PlacementTarget[],
) => PlacementTarget | undefined;

/** Returns whether the target has the label and total capacity for the step. */
export function isEligible(
  spec: StepSpec,
  target: Pick<PlacementTarget, 'labels' | 'capacity'>,
): boolean {
  const {requiredLabel} = spec;
  const hasLabel =
    requiredLabel === '' || target.labels.includes(requiredLabel);
  return hasLabel && isWithinCapacity(spec.need, target.capacity);
}

/** Returns the estimated run time in milliseconds of a step on a target. */
export function estimateRun(
  spec: StepSpec,
  target: PlacementTarget,
  farFactor: number,
): number {
  const isFar =
    spec.preferredRack !== '' && !target.labels.includes(spec.preferredRack);
  return spec.estimateMs * target.slowness * (isFar ? farFactor : 1);
}

/** Returns whether the target may run the task, regardless of free capacity. */
export function isAllowed(
  request: PlacementRequest,
  target: PlacementTarget,
): boolean {
  const {spec, excludedTargets, countOn} = request;
  return (
    isEligible(spec, target) &&
    !excludedTargets.has(target.life) &&
    (spec.perTargetAtMost === 0 || countOn(target.agent) < spec.perTargetAtMost)
  );
}

/** Lists the targets that may run the task now. */
export function listAvailable(
  request: PlacementRequest,
  targets: readonly PlacementTarget[],
): PlacementTarget[] {
  return targets.filter(
    target =>
      isWithinCapacity(request.spec.need, target.free) &&
      isAllowed(request, target),
  );
}

/**
 * Chooses the target on which the run is expected to end first; of equally fast
 * ones, the one with the most free processors.
 */
export const chooseFastest: ChooseTarget = (request, targets) => {
  const trusted = listAvailable(request, targets).filter(
    target => !target.isSuspect,
  );
  return pickLeast(
    trusted,
    target =>
      estimateRun(request.spec, target, request.farFactor) -
      target.free.cpuMilli * 1e-6,
  );
};

/** Largest share of the time left that an expected run may use to count as safely in time. */
export const SAFE_SHARE = 0.88;

/** The same limit if no target is safe: the answer may be only just in time. */
export const TIGHT_SHARE = 0.97;

/** Returns the share of the time left that the run is expected to use. */
export function estimateShare(
  request: PlacementRequest,
  target: PlacementTarget,
): number {
  const runMs = estimateRun(request.spec, target, request.farFactor);
  return request.timeLeftMs > 0 ? runMs / request.timeLeftMs : Infinity;
}

/**
 * Chooses the slowest target that safely meets the objective, which keeps fast
 * targets free for work that needs them. Without a safe target, chooses the
 * fastest one that may still meet the objective; undefined if all are too slow.
 */
export const chooseSlowestInTime: ChooseTarget = (request, targets) => {
  const available = listAvailable(request, targets).filter(
    target =>
      !target.isSuspect && estimateShare(request, target) <= TIGHT_SHARE,
  );
  const safe = available.filter(
    target => estimateShare(request, target) <= SAFE_SHARE,
  );
  const estimateRunMs = (target: PlacementTarget) =>
    estimateRun(request.spec, target, request.farFactor);
  if (safe.length === 0) {
    const fastestMs = Math.min(...available.map(estimateRunMs));
    return pickMostFree(
      available,
      target => estimateRunMs(target) <= fastestMs * EQUAL_SPEED_FACTOR,
    );
  }
  const slowestMs = Math.max(...safe.map(estimateRunMs));
  return pickMostFree(
    safe,
    target => estimateRunMs(target) * EQUAL_SPEED_FACTOR >= slowestMs,
  );
};

/**
 * Targets whose run times differ by less than this factor count as equally
 * fast; the one with the largest share of free capacity is chosen. This spreads
 * the tasks of a job: one agent starts the eight tasks of a search one after
 * another, which takes about 30 ms on its fraction of a core.
 */
export const EQUAL_SPEED_FACTOR = 1.25;

function pickMostFree(
  targets: readonly PlacementTarget[],
  isEquallyFast: (target: PlacementTarget) => boolean,
): PlacementTarget | undefined {
  return pickLeast(
    targets.filter(isEquallyFast),
    ({free, capacity}) => -free.cpuMilli / Math.max(1, capacity.cpuMilli),
  );
}

/** Queued work that a full target may have, as a share of its processors. */
const MAX_QUEUE_SHARE = 0.15;

/**
 * Chooses a full target with a short queue that is fast enough, preferring the
 * least backlog. Without such queues, each task of 80 ms in a burst would be
 * followed by an idle time in which several messages pass between entry and agent.
 */
export const chooseShortestQueue: ChooseTarget = (request, targets) => {
  const computeBacklogShare = (target: PlacementTarget) =>
    -target.free.cpuMilli / Math.max(1, target.capacity.cpuMilli);
  const available = targets.filter(
    target =>
      !target.isSuspect &&
      computeBacklogShare(target) < MAX_QUEUE_SHARE &&
      estimateShare(request, target) <= SAFE_SHARE &&
      isAllowed(request, target),
  );
  return pickLeast(
    available,
    target => computeBacklogShare(target) * target.slowness,
  );
};

function pickLeast(
  targets: readonly PlacementTarget[],
  computeCost: (target: PlacementTarget) => number,
): PlacementTarget | undefined {
  let best: PlacementTarget | undefined;
  let leastCost = Infinity;
  for (const target of targets) {
    const cost = computeCost(target);
    if (cost < leastCost) [best, leastCost] = [target, cost];
  }
  return best;
}

/** Chooses a suspect target that offers capacity for a probe run. */
export const chooseProbe: ChooseTarget = (request, targets) =>
  listAvailable(request, targets).find(target => target.isSuspect);
