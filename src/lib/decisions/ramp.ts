/** Slow start: ramps up the load of an agent that becomes usable again. */

/** Time in milliseconds in which a returning agent reaches its full share. */
export const RAMP_MS = 2000;

/** Share of the slots that may be used immediately on return. */
const FIRST_SHARE = 0.25;

/** Returns the share of its slots that an agent may use, above 0 and up to 1. */
export function computeRampShare(sinceReturnMs: number): number {
  if (sinceReturnMs >= RAMP_MS) return 1;
  const progress = Math.max(0, sinceReturnMs) / RAMP_MS;
  return FIRST_SHARE + (1 - FIRST_SHARE) * progress;
}

/** Returns how many tasks may be outstanding at an agent while it ramps up. */
export function limitByRamp(sinceReturnMs: number, slots: number): number {
  const share = computeRampShare(sinceReturnMs);
  return share >= 1 ? Infinity : Math.max(1, Math.ceil(slots * share));
}
