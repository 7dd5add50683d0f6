/** Clocks, timers and random numbers as functions that are passed to their users. */
import {performance} from 'node:perf_hooks';

/** Reads a monotonic clock in milliseconds; never decreases, and advances while the process is stopped. */
export type ReadMonotonicMs = () => number;

/** Reads the wall clock in milliseconds since the Unix epoch; only for display. */
export type ReadWallMs = () => number;

/**
 * Reads the system clock in milliseconds since the Unix epoch. It may be stepped,
 * and it counts the time of a suspended host, which the monotonic clock may not.
 */
export type ReadSystemMs = () => number;

/** Stops a timer that has not fired. */
export type StopTimer = () => void;

/** Calls `fire` once after `delayMs`; returns the function that stops the timer. */
export type StartTimer = (delayMs: number, fire: () => void) => StopTimer;

/** Calls `run` in a later turn of the event loop. */
export type Defer = (run: () => void) => void;

/** Returns a number from 0 up to but not including 1. */
export type DrawRandom = () => number;

const NANOSECONDS_PER_MS = 1e6;

/**
 * Reads the host's monotonic clock in milliseconds. Processes on one host read
 * the same clock, so an agent can send a time to the target on its host.
 */
export const readMonotonicMs: ReadMonotonicMs = () =>
  Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;

/** Reads the host's wall clock in milliseconds since the Unix epoch. */
export const readWallMs: ReadWallMs = () =>
  Math.round(performance.timeOrigin + performance.now());

/** Reads the host's system clock in milliseconds since the Unix epoch. */
export const readSystemMs: ReadSystemMs = () => Date.now();

/** Starts a timer on the event loop. */
export const startTimer: StartTimer = (delayMs, fire) => {
  const handle = setTimeout(fire, delayMs);
  return () => clearTimeout(handle);
};

/**
 * Starts a timer that fires only after sockets with pending data have been read,
 * so that a timer that fires late does not time out an answer that has arrived.
 */
export const startDeferredTimer: StartTimer = (delayMs, fire) => {
  let immediate: NodeJS.Immediate | undefined;
  const handle = setTimeout(() => (immediate = setImmediate(fire)), delayMs);
  return () => {
    clearTimeout(handle);
    clearImmediate(immediate);
  };
};

/** Defers a call until sockets with pending data have been read. */
export const defer: Defer = run => void setImmediate(run);

/** Calls `fire` repeatedly, `periodMs` after the end of the previous call. */
export function repeatTimer(
  start: StartTimer,
  periodMs: number,
  fire: () => void,
): StopTimer {
  let isStopped = false;
  let stop: StopTimer;
  const run = () => {
    fire();
    if (!isStopped) stop = start(periodMs, run);
  };
  stop = start(periodMs, run);
  return () => {
    isStopped = true;
    stop();
  };
}
