/** Seeded pseudo-random numbers. */
import type {DrawRandom} from '../../src/lib/core/clock.js';

const TWO_POW_32 = 2 ** 32;

/** Creates a mulberry32 generator, which is determined by its seed. */
export function createRandom(seed: number): DrawRandom {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / TWO_POW_32;
  };
}
