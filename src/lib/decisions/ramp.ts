/** Brings work back to an agent or data centre by degrees. */

/** Time in milliseconds over which a returning agent comes to its full share. */
export const RAMP_MS = 2000;

/** Share of the slots that is used at once on return. */
const FIRST_SHARE = 0.25;

/** Returns the share of its slots, above 0 up to 1, that an agent may use. */
export function computeRampShare(sinceReturnMs: number): number {
  if (sinceReturnMs >= RAMP_MS) return 1;
  const progress = Math.max(0, sinceReturnMs) / RAMP_MS;
  return FIRST_SHARE + (1 - FIRST_SHARE) * progress;
}

/** Returns the tasks that an agent may have at once while it ramps up. */
export function limitByRamp(sinceReturnMs: number, slots: number): number {
  const share = computeRampShare(sinceReturnMs);
  return share >= 1 ? Infinity : Math.max(1, Math.ceil(slots * share));
}
