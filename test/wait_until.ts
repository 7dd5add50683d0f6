/** Polls a condition in tests where no event signals it. */
import {readMonotonicMs, startTimer} from '../src/lib/core/clock.js';
import {RequestError} from '../src/lib/core/errors.js';

const POLL_INTERVAL_MS = 2;
const TIMEOUT_MS = 10_000;

/**
 * Resolves once `check` returns true; rejects after ten seconds with an error
 * that names `condition`.
 */
export async function waitUntil(
  condition: string,
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  const endMs = readMonotonicMs() + TIMEOUT_MS;
  while (!(await check())) {
    if (readMonotonicMs() > endMs) {
      throw new RequestError(`Timed out waiting until ${condition}.`);
    }
    await new Promise<void>(resolve => startTimer(POLL_INTERVAL_MS, resolve));
  }
}
