/** Exponential backoff with jitter. */
import type {DrawRandom} from './clock.js';

/** Bounds of the delay between attempts. */
export interface BackoffLimits {
  readonly firstMs: number;
  readonly longestMs: number;
}

/** Maximum number of doublings; keeps the power finite and exceeds any sensible limit. */
const MAX_DOUBLINGS = 20;

/**
 * Computes the delay before the next attempt. The delay doubles with each
 * failure up to a limit, and is drawn from its upper half so that processes that
 * failed at the same time do not retry at the same time.
 */
export function computeBackoffMs(
  failures: number,
  limits: BackoffLimits,
  drawRandom: DrawRandom,
): number {
  const doublings = Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS);
  const fullMs = Math.min(limits.longestMs, limits.firstMs * 2 ** doublings);
  return fullMs * (0.5 + 0.5 * drawRandom());
}
