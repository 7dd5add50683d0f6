/** Waits in tests for a condition that no event announces. */
import {readMonotonicMs, startTimer} from '../src/lib/core/clock.js';
import {RequestError} from '../src/lib/core/errors.js';

const CHECK_PERIOD_MS = 2;
const LIMIT_MS = 10_000;

/** Resolves once `check` holds; rejects after ten seconds. */
export async function waitUntil(
  what: string,
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  const endMs = readMonotonicMs() + LIMIT_MS;
  while (!(await check())) {
    if (readMonotonicMs() > endMs) {
      throw new RequestError(`Waited too long until ${what}.`);
    }
    await new Promise<void>(resolve => startTimer(CHECK_PERIOD_MS, resolve));
  }
}
