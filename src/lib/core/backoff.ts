/** Growing, jittered delays between attempts. */
import type {DrawRandom} from './clock.js';

/** Bounds of the delay between attempts. */
export interface BackoffLimits {
  readonly firstMs: number;
  readonly longestMs: number;
}

/** Doublings after which a delay has long reached any sensible limit. */
const MAXIMUM_DOUBLINGS = 20;

/**
 * Computes the delay before the next attempt: doubles with each failure, is
 * bounded, and is spread over its upper half so that processes that failed
 * together do not return together.
 */
export function computeBackoffMs(
  failures: number,
  limits: BackoffLimits,
  drawRandom: DrawRandom,
): number {
  const doublings = Math.min(Math.max(failures - 1, 0), MAXIMUM_DOUBLINGS);
  const wholeMs = Math.min(limits.longestMs, limits.firstMs * 2 ** doublings);
  return wholeMs * (0.5 + 0.5 * drawRandom());
}
