/** Waits for conditions that only a question can tell. */
import type {ReadMonotonicMs, StartTimer} from '../../src/lib/core/clock.js';
import {ScenarioError} from './scenario_error.js';

/** Tells whether a condition holds now. */
export type CheckCondition = () => boolean | Promise<boolean>;

/** Time that waiting is measured by. */
export interface WaitingClock {
  readonly readMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
}

const CHECK_PERIOD_MS = 25;

/**
 * Resolves when the condition holds.
 *
 * A check that fails counts as "does not hold", since the process asked may be
 * down at that moment.
 *
 * @throws ScenarioError when `withinMs` passes first.
 */
export async function awaitCondition(
  text: string,
  withinMs: number,
  check: CheckCondition,
  clock: WaitingClock,
): Promise<void> {
  const untilMs = clock.readMs() + withinMs;
  while (!(await checkNow(check))) {
    if (clock.readMs() > untilMs) {
      throw new ScenarioError(`Not within ${withinMs} ms: ${text}.`);
    }
    await pause(CHECK_PERIOD_MS, clock.startTimer);
  }
}

/** Resolves as `promise` does. @throws ScenarioError when the bound passes first. */
export async function awaitWithin<T>(
  text: string,
  withinMs: number,
  promise: Promise<T>,
  startTimer: StartTimer,
): Promise<T> {
  let stop: () => void = () => undefined;
  const bound = new Promise<never>((_, reject) => {
    stop = startTimer(withinMs, () =>
      reject(new ScenarioError(`Not within ${withinMs} ms: ${text}.`)),
    );
  });
  try {
    return await Promise.race([promise, bound]);
  } finally {
    stop();
  }
}

/** Resolves after a time. */
export function pause(ms: number, startTimer: StartTimer): Promise<void> {
  return new Promise(resolve => {
    startTimer(ms, resolve);
  });
}

async function checkNow(check: CheckCondition): Promise<boolean> {
  try {
    return await check();
  } catch {
    return false;
  }
}
