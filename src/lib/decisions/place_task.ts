/** Chooses the target for a task. */
import {isWithinCapacity} from '../core/work_job.js';
import type {Resources, StepSpec} from '../core/work_job.js';

/** A target as placement sees it. */
export interface PlacementTarget {
  /** Life of the agent beside it. */
  readonly agent: string;
  /** One life of the target. */
  readonly life: string;
  readonly labels: readonly string[];
  /** Room that is free, orders on their way taken off. */
  readonly free: Resources;
  readonly capacity: Resources;
  /** Run time over estimate, averaged. */
  readonly slowness: number;
  readonly isSuspect: boolean;
}

/** What a task asks of its place. */
export interface PlacementRequest {
  readonly spec: StepSpec;
  /** Time in milliseconds that is left for the run to meet the objective. */
  readonly timeLeftMs: number;
  /** Lives of targets on which a run of it went wrong. */
  readonly excludedTargets: ReadonlySet<string>;
  /** Runs of the same step on an agent's target now. */
  readonly countOn: (agent: string) => number;
  /** Run time on another rack than the preferred one, as a multiple. */
  readonly farFactor: number;
}

/** Chooses among targets that can take the task; undefined if none can. */
export type ChooseTarget = (
  need: PlacementRequest,
  targets: readonly PlacementTarget[],
) => PlacementTarget | undefined;

/** Tells whether the target could ever run the step. */
export function isEligible(spec: StepSpec, target: PlacementTarget): boolean {
  const {requiredLabel} = spec;
  const hasLabel =
    requiredLabel === '' || target.labels.includes(requiredLabel);
  return hasLabel && isWithinCapacity(spec.need, target.capacity);
}

/** Estimates the run time of a step on a target in milliseconds. */
export function estimateRun(
  spec: StepSpec,
  target: PlacementTarget,
  farFactor: number,
): number {
  const isFar =
    spec.preferredRack !== '' && !target.labels.includes(spec.preferredRack);
  return spec.estimateMs * target.slowness * (isFar ? farFactor : 1);
}

/** Tells whether the target may get the task, whether or not it has room. */
function isAllowed(need: PlacementRequest, target: PlacementTarget): boolean {
  const {spec, excludedTargets: avoided, countOn} = need;
  return (
    isEligible(spec, target) &&
    !avoided.has(target.life) &&
    (spec.perTargetAtMost === 0 || countOn(target.agent) < spec.perTargetAtMost)
  );
}

function listOpen(
  need: PlacementRequest,
  targets: readonly PlacementTarget[],
): PlacementTarget[] {
  return targets.filter(
    target =>
      isWithinCapacity(need.spec.need, target.free) && isAllowed(need, target),
  );
}

/** Takes the target on which the run is expected to end first. */
export const chooseFastest: ChooseTarget = (need, targets) => {
  const trusted = listOpen(need, targets).filter(target => !target.isSuspect);
  return pickLeast(
    trusted,
    target =>
      estimateRun(need.spec, target, need.farFactor) -
      target.free.cpuMilli * 1e-6,
  );
};

/** Share of the time left that an expected run may take up, to be in time for certain. */
const SAFE_SHARE = 0.88;

/** The same where no target is safe: the answer may come just in time. */
const TIGHT_SHARE = 0.97;

/** Returns the share of the time left that the run is expected to take up. */
function estimateShare(
  need: PlacementRequest,
  target: PlacementTarget,
): number {
  const runMs = estimateRun(need.spec, target, need.farFactor);
  return need.timeLeftMs > 0 ? runMs / need.timeLeftMs : Infinity;
}

/**
 * Takes the slowest target that is safe to meet the objective, so that fast
 * ones stay free for work that needs them; if there is none, the fastest that
 * may meet it; none if all are too slow.
 */
export const chooseSlowestInTime: ChooseTarget = (need, targets) => {
  const open = listOpen(need, targets).filter(
    target => !target.isSuspect && estimateShare(need, target) <= TIGHT_SHARE,
  );
  const safe = open.filter(target => estimateShare(need, target) <= SAFE_SHARE);
  const readRun = (target: PlacementTarget) =>
    estimateRun(need.spec, target, need.farFactor);
  if (safe.length === 0) {
    const fastestMs = Math.min(...open.map(readRun));
    return pickRoomiest(open, target => readRun(target) <= fastestMs * ALIKE);
  }
  const slowestMs = Math.max(...safe.map(readRun));
  return pickRoomiest(safe, target => readRun(target) * ALIKE >= slowestMs);
};

/**
 * Targets whose run times differ by less than this factor count as equally
 * fast; among them the one with the most room is taken. Pattern: the eight
 * tasks of a search given to one agent are started one after another, which
 * takes it some 30 ms on its fraction of a core.
 */
const ALIKE = 1.25;

function pickRoomiest(
  targets: readonly PlacementTarget[],
  isAlike: (target: PlacementTarget) => boolean,
): PlacementTarget | undefined {
  return pickLeast(
    targets.filter(isAlike),
    ({free, capacity}) => -free.cpuMilli / Math.max(1, capacity.cpuMilli),
  );
}

/** Share of a target's processors whose next work may already wait there. */
const QUEUE_SHARE = 0.15;

/**
 * Takes a place in the short queue of a target that is full but fast enough:
 * the one that is least behind. Pattern: under a burst each task of 80 ms would
 * otherwise be followed by a pause of several messages between entry and agent.
 */
export const chooseShortestQueue: ChooseTarget = (need, targets) => {
  const computeLag = (target: PlacementTarget) =>
    -target.free.cpuMilli / Math.max(1, target.capacity.cpuMilli);
  const open = targets.filter(
    target =>
      !target.isSuspect &&
      computeLag(target) < QUEUE_SHARE &&
      estimateShare(need, target) <= SAFE_SHARE &&
      isAllowed(need, target),
  );
  return pickLeast(open, target => computeLag(target) * target.slowness);
};

function pickLeast(
  targets: readonly PlacementTarget[],
  rate: (target: PlacementTarget) => number,
): PlacementTarget | undefined {
  let best: PlacementTarget | undefined;
  let least = Infinity;
  for (const target of targets) {
    const rated = rate(target);
    if (rated < least) [best, least] = [target, rated];
  }
  return best;
}

/** Takes a suspect target that asks for one run to prove itself. */
export const chooseProbe: ChooseTarget = (need, targets) =>
  listOpen(need, targets).find(target => target.isSuspect);
