/** The clock that all processes of one host share. */
import type {ReadMonotonicMs} from '../../src/lib/core/clock.js';

const NANOSECONDS_PER_MS = 1e6;

/** Reads the host's monotonic clock, in which targets record their starts. */
export const readHostMs: ReadMonotonicMs = () =>
  Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;
