/** Relative speeds of the targets of the fleet. */

/** Speeds of the targets that accept work. */
export interface FleetSpeeds {
  /** Ratio of run time to estimate on a typical target. */
  readonly typical: number;
  /** Ratio of the run time on the faster targets to that on a typical one. */
  readonly fast: number;
}

/** Quantile of the targets, fastest first, that defines `fast`. */
const FAST_SHARE = 0.3;

/** Factor from the median to which outliers are clamped. */
const MAX_DEVIATION_FACTOR = 2.2;

/**
 * Computes the speeds from the ratios of run time to estimate of all targets.
 * The typical value is a mean, since a median jumps from one kind of target to
 * the next when two of them leave. Clamping makes a target that hangs count as
 * a slow one.
 */
export function computeSpeeds(slownesses: readonly number[]): FleetSpeeds {
  const sorted = slownesses.map(Math.log).sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const maxDeviation = Math.log(MAX_DEVIATION_FACTOR);
  const sum = sorted.reduce(
    (total, ratio) =>
      total +
      Math.min(median + maxDeviation, Math.max(median - maxDeviation, ratio)),
    0,
  );
  const typical = sum / Math.max(1, sorted.length);
  const fast = sorted[Math.floor(sorted.length * FAST_SHARE)] ?? typical;
  return {typical: Math.exp(typical), fast: Math.exp(fast - typical)};
}
