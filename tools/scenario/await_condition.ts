/** Waits for conditions by polling. */
import type {ReadMonotonicMs, StartTimer} from '../../src/lib/core/clock.js';
import {ScenarioError} from './scenario_error.js';

/** Returns whether a condition holds now. */
export type CheckCondition = () => boolean | Promise<boolean>;

/** Clock and timers used while waiting. */
export interface WaitingClock {
  readonly readMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
}

const CHECK_INTERVAL_MS = 25;

/**
 * Resolves when the condition holds.
 *
 * A check that throws counts as "does not hold", since the queried process may
 * be down at that moment.
 *
 * @throws ScenarioError on timeout.
 */
export async function awaitCondition(
  description: string,
  withinMs: number,
  check: CheckCondition,
  clock: WaitingClock,
): Promise<void> {
  const deadlineMs = clock.readMs() + withinMs;
  while (!(await checkSafely(check))) {
    if (clock.readMs() > deadlineMs) {
      throw new ScenarioError(
        `Timed out after ${withinMs} ms waiting for: ${description}.`,
      );
    }
    await pause(CHECK_INTERVAL_MS, clock.startTimer);
  }
}

/** Settles as `promise` does. @throws ScenarioError on timeout. */
export async function awaitWithin<T>(
  description: string,
  withinMs: number,
  promise: Promise<T>,
  startTimer: StartTimer,
): Promise<T> {
  let stop: () => void = () => undefined;
  const timeout = new Promise<never>((_, reject) => {
    stop = startTimer(withinMs, () =>
      reject(
        new ScenarioError(
          `Timed out after ${withinMs} ms waiting for: ${description}.`,
        ),
      ),
    );
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    stop();
  }
}

/** Resolves after `ms` milliseconds. */
export function pause(ms: number, startTimer: StartTimer): Promise<void> {
  return new Promise(resolve => {
    startTimer(ms, resolve);
  });
}

async function checkSafely(check: CheckCondition): Promise<boolean> {
  try {
    return await check();
  } catch {
    return false;
  }
}
