/**
 * Randomized placement on stale loads.
 *
 * Several entries that see the same loads, each up to a report period old, all
 * choose the target that looks best, which is full when most of their orders
 * arrive (Mitzenmacher, "How useful is old information?", 2000). Here each target
 * is chosen with a probability that grows with its free capacity, among all that
 * are fast enough.
 */
import type {DrawRandom} from '../core/clock.js';
import {estimateRun, estimateShare, listAvailable} from './place_task.js';
import {EQUAL_SPEED_FACTOR, SAFE_SHARE, TIGHT_SHARE} from './place_task.js';
import type {
  ChooseTarget,
  PlacementRequest,
  PlacementTarget,
} from './place_task.js';

/**
 * Creates a policy that draws a target that safely meets the objective; without
 * one, one of the fastest that may still meet it. Slow targets are preferred by
 * their slowness, which keeps fast ones free for work that needs them.
 */
export function createRandomChoice(drawRandom: DrawRandom): ChooseTarget {
  return (request, targets) => {
    const available = listAvailable(request, targets).filter(
      target =>
        !target.isSuspect && estimateShare(request, target) <= TIGHT_SHARE,
    );
    const safe = available.filter(
      target => estimateShare(request, target) <= SAFE_SHARE,
    );
    const candidates = safe.length > 0 ? safe : listFastest(request, available);
    return drawTarget(candidates, drawRandom);
  };
}

function listFastest(
  request: PlacementRequest,
  targets: readonly PlacementTarget[],
): PlacementTarget[] {
  const runs = targets.map(target =>
    estimateRun(request.spec, target, request.farFactor),
  );
  const limitMs = Math.min(...runs) * EQUAL_SPEED_FACTOR;
  return targets.filter((_, index) => runs[index] <= limitMs);
}

function drawTarget(
  targets: readonly PlacementTarget[],
  drawRandom: DrawRandom,
): PlacementTarget | undefined {
  const weights = targets.map(computeWeight);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let rest = drawRandom() * total;
  for (const [index, weight] of weights.entries()) {
    rest -= weight;
    if (rest < 0) return targets[index];
  }
  return targets.at(-1);
}

/** Free processors, by the share of the target that is free, and its slowness. */
function computeWeight({free, capacity, slowness}: PlacementTarget): number {
  const freeShare = free.cpuMilli / Math.max(1, capacity.cpuMilli);
  return (free.cpuMilli + 1) * Math.max(freeShare, MIN_FREE_SHARE) * slowness;
}

/** Keeps targets whose tasks need no processors from having no weight. */
const MIN_FREE_SHARE = 1e-3;
