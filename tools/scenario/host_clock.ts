/** Monotonic clock shared by all processes of a host. */
import type {ReadMonotonicMs} from '../../src/lib/core/clock.js';

const NANOSECONDS_PER_MS = 1e6;

/** Reads the host's monotonic clock, which targets use to record starts. */
export const readHostMs: ReadMonotonicMs = () =>
  Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;
