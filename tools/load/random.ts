/** Seeded pseudo-random numbers (mulberry32), for reproducible runs. */
import type {DrawRandom} from '../../src/lib/core/clock.js';

/** Creates a generator of numbers in [0, 1); the same seed gives the same numbers. */
export function createRandom(seed: number): DrawRandom {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
}
