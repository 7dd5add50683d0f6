/** The seed of the property tests. */
import {createRandom} from '../../tools/load/random.js';

export {createRandom};

/** Seed of the property tests; the environment variable SEED replaces it. */
export const SEED = Number(process.env.SEED ?? 20251204);

console.log(`# seed of the property tests: SEED=${SEED}`);
