/**
 * Look-ahead placement: chooses a target that is full now, by what its agent expects
 * to come free soon. The order waits there as a reservation of the next free capacity.
 *
 * A queue at the entry loses the capacity that comes free to whichever entry hears of
 * it first, and a message passes each way before it is used. A reservation needs
 * neither; it ends with the patience of its order.
 */
import type {DrawRandom} from '../core/clock.js';
import type {CapacityStep} from '../core/work_frames.js';
import {isWithinCapacity} from '../core/work_job.js';
import type {Resources} from '../core/work_job.js';
import {createRandomChoice} from './place_at_random.js';
import {estimateRun, isAllowed, SAFE_SHARE} from './place_task.js';
import type {
  ChooseTarget,
  PlacementRequest,
  PlacementTarget,
} from './place_task.js';

/**
 * Longest expected wait in milliseconds of a reservation. It also bounds what entries
 * reserve of a target: queued orders are not in its outlook, so that all of them start
 * within this time if the runs end as expected. Estimates are 40 % off, and a longer
 * queue would hold work that another target starts sooner.
 */
export const MAX_RESERVATION_WAIT_MS = 400;

/**
 * Time in milliseconds for which a reservation may last beyond its expected wait, for
 * runs that end later than expected. It is the wait that an order to a full target has
 * without an outlook.
 */
const RESERVATION_GRACE_MS = 150;

/** Range of the expected ends, as a factor, among which the target is drawn. */
const EQUAL_END_FACTOR = 1.1;

/** Returns the longest wait in milliseconds that the order of a reservation allows. */
export function computePatience(waitMs: number): number {
  return Math.round(waitMs) + RESERVATION_GRACE_MS;
}

/**
 * Steps of an outlook that are used. Agents send four at most; a longer list of another
 * writer would take time in each round of placement.
 */
const STEPS_AT_MOST = 16;

/**
 * Reads the outlook of a report as it was received. One of another form counts as
 * absent: an exception in a round of placement would end the entry, and a step that is
 * not of numbers compares as one with room for every task.
 */
export function readOutlook(
  value: unknown,
): readonly CapacityStep[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const steps: readonly unknown[] = value.slice(0, STEPS_AT_MOST);
  return steps.every(isStep) ? steps : undefined;
}

function isStep(value: unknown): value is CapacityStep {
  return (
    Array.isArray(value) &&
    value.length === 2 &&
    value.every(part => Number.isFinite(part))
  );
}

/**
 * Converts a reported outlook to one from now, less orders that it does not include.
 * A step that is overdue without a report is expected after as long again as it is
 * overdue: had its runs ended, the agent would have reported that.
 *
 * @param ageMs Time in milliseconds since the report.
 * @param inFlightMilli Processors that orders in flight need, in thousandths.
 */
export function advanceOutlook(
  outlook: readonly CapacityStep[],
  ageMs: number,
  inFlightMilli: number,
): CapacityStep[] {
  return outlook.map(([inMs, cpuMilli]) => [
    Math.abs(inMs - ageMs),
    cpuMilli - inFlightMilli,
  ]);
}

/**
 * Returns the expected time in milliseconds until a target has capacity for the need;
 * undefined if its outlook does not tell. An outlook tells of processors only: what
 * waits for memory or accelerators has no expected time.
 */
export function estimateWait(
  need: Resources,
  {free, outlook}: Pick<PlacementTarget, 'free' | 'outlook'>,
): number | undefined {
  if (isWithinCapacity(need, free)) return 0;
  if (outlook === undefined) return undefined;
  const {memoryMb, accelerators} = need;
  if (memoryMb > free.memoryMb || accelerators > free.accelerators) {
    return undefined;
  }
  let leastMs: number | undefined;
  for (const [inMs, cpuMilli] of outlook) {
    if (cpuMilli < need.cpuMilli) continue;
    if (leastMs === undefined || inMs < leastMs) leastMs = inMs;
  }
  return leastMs;
}

interface Opening {
  readonly target: PlacementTarget;
  /** Expected time in milliseconds until the end of the run. */
  readonly endsInMs: number;
}

/**
 * Creates a policy for a task that no target has capacity for now. It draws one of the
 * targets on which the run is expected to end first: several entries see the same
 * openings. A target on which it is expected to end safely in time goes before all
 * others; without one, the soonest end counts if the run alone would be in time. A
 * task that waited at its entry until it was late would get free capacity last, while
 * all targets have reservations.
 */
export function createAheadChoice(drawRandom: DrawRandom): ChooseTarget {
  return (request, targets) => {
    const limitMs = SAFE_SHARE * request.timeLeftMs;
    const openings: Opening[] = [];
    for (const target of targets) {
      const opening = findOpening(request, target, limitMs);
      if (opening !== undefined) openings.push(opening);
    }
    const safe = openings.filter(({endsInMs}) => endsInMs <= limitMs);
    const candidates = safe.length > 0 ? safe : openings;
    const soonestMs = Math.min(...candidates.map(({endsInMs}) => endsInMs));
    const best = candidates.filter(
      ({endsInMs}) => endsInMs <= soonestMs * EQUAL_END_FACTOR,
    );
    return best[Math.floor(drawRandom() * best.length)]?.target;
  };
}

/** Finds the opening of a target in which the task may run. */
function findOpening(
  request: PlacementRequest,
  target: PlacementTarget,
  limitMs: number,
): Opening | undefined {
  const {spec, farFactor} = request;
  if (target.isSuspect) return undefined;
  const waitMs = estimateWait(spec.need, target);
  if (waitMs === undefined || waitMs > MAX_RESERVATION_WAIT_MS) {
    return undefined;
  }
  const runMs = estimateRun(spec, target, farFactor);
  // Also excludes an unknown run time, which would compare as none of the soonest.
  const isInTime = runMs <= limitMs;
  if (!isInTime || !isAllowed(request, target)) return undefined;
  return {target, endsInMs: waitMs + runMs};
}

/** The policies of an entry. */
export interface TargetChoices {
  readonly chooseTarget: ChooseTarget;
  /** Chooses a full target by its outlook; absent unless the entry plans ahead. */
  readonly chooseAhead?: ChooseTarget;
}

/** Creates the policies of an entry; with look-ahead only if it plans ahead. */
export function createChoices(
  drawRandom: DrawRandom,
  planAhead = false,
): TargetChoices {
  const chooseTarget = createRandomChoice(drawRandom);
  if (!planAhead) return {chooseTarget};
  return {chooseTarget, chooseAhead: createAheadChoice(drawRandom)};
}
