/** How fast the targets are against one another. */

/** The speeds of the targets that take work. */
export interface FleetSpeeds {
  /** Run time over estimate on the median target: a few that hang count little. */
  readonly median: number;
  /** Run time on the faster targets, against the median one. */
  readonly fast: number;
}

/** Share of the targets that are as fast as `fast` or faster. */
const FAST_SHARE = 0.3;

/** Works out the speeds from the run times over estimate of all targets. */
export function computeSpeeds(slownesses: readonly number[]): FleetSpeeds {
  const sorted = [...slownesses].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 1;
  const fast = sorted[Math.floor(sorted.length * FAST_SHARE)] ?? median;
  return {median, fast: fast / median};
}
