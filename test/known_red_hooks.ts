/** Mocha root hooks that pass over the tests named in KNOWN-RED.txt, and print them. */
import {readFileSync} from 'node:fs';
import type {Context, Runnable} from 'mocha';

const KNOWN_RED = new URL('../../KNOWN-RED.txt', import.meta.url);

/** Lists the full titles of the tests that fail for a known fault. */
export function listKnownRedTitles(text: string): string[] {
  return [...text.matchAll(/^ {2}test: (.+)$/gm)].map(match => match[1]);
}

/**
 * Replaces the body of a test by one that runs it, and marks it as skipped if it
 * fails. One that passes is printed as well, so that its entry can be removed.
 */
export function wrapKnownRed(
  test: Runnable,
  print: (line: string) => void,
): void {
  const run = test.fn as (this: Context) => unknown;
  test.fn = async function (this: Context) {
    try {
      await run.call(this);
      print(`KNOWN RED, passes: ${test.fullTitle()}`);
    } catch (failure) {
      print(`KNOWN RED: ${test.fullTitle()}: ${String(failure)}`);
      this.skip();
    }
  };
}

const TITLES = listKnownRedTitles(readFileSync(KNOWN_RED, 'utf8'));

/** Root hooks for `--require`. */
export const mochaHooks = {
  ['beforeEach']: function wrapIfListed(this: Context): void {
    const test = this.currentTest;
    if (test === undefined || !TITLES.includes(test.fullTitle())) return;
    wrapKnownRed(test, line => process.stdout.write(`      ${line}\n`));
  },
};
