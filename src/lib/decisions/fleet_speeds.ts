/** How fast the targets are against one another. */

/** The speeds of the targets that take work. */
export interface FleetSpeeds {
  /** Run time over estimate on a typical target. */
  readonly typical: number;
  /** Run time on the faster targets, against a typical one. */
  readonly fast: number;
}

/** Share of the targets that are as fast as `fast` or faster. */
const FAST_SHARE = 0.3;

/** Farthest that one target counts from the median, as a factor. */
const FARTHEST = 2.2;

/**
 * Works out the speeds from the run times over estimate of all targets. The
 * typical one is a mean, since a median jumps from one kind of target to the
 * next when two of them leave; a target that hangs counts as a slow one.
 */
export function computeSpeeds(slownesses: readonly number[]): FleetSpeeds {
  const sorted = slownesses.map(Math.log).sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const reach = Math.log(FARTHEST);
  const sum = sorted.reduce(
    (total, one) =>
      total + Math.min(median + reach, Math.max(median - reach, one)),
    0,
  );
  const typical = sum / Math.max(1, sorted.length);
  const fast = sorted[Math.floor(sorted.length * FAST_SHARE)] ?? typical;
  return {typical: Math.exp(typical), fast: Math.exp(fast - typical)};
}
