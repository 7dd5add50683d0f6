import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import type {Context, Runnable} from 'mocha';
import {RequestError} from '../src/lib/core/errors.js';
import {listKnownRedTitles, wrapKnownRed} from './known_red_hooks.js';

/** Thrown by `this.skip()` of the context. */
const SKIPPED = new RequestError('skipped');

/** Runs a wrapped test body; returns the lines printed and whether it was skipped. */
async function runWrapped(
  body: () => void,
): Promise<{lines: string[]; isSkipped: boolean}> {
  const lines: string[] = [];
  const test = {fn: body, fullTitle: () => 'a test'} as unknown as Runnable;
  wrapKnownRed(test, line => lines.push(line));
  const context = {
    skip: () => {
      throw SKIPPED;
    },
  };
  try {
    await (test.fn as () => Promise<void>).call(context as unknown as Context);
    return {lines, isSkipped: false};
  } catch (failure) {
    if (failure !== SKIPPED) throw failure;
    return {lines, isSkipped: true};
  }
}

// Guards against a list that passes over more than it names, or over nothing.
describe('KNOWN-RED.txt', () => {
  it('names tests by their full titles', () => {
    const text = 'test/a_test.ts (issue 1)\n  test: A thing works\n  text\n';
    expect(listKnownRedTitles(text)).to.deep.equal(['A thing works']);
  });

  it('prints a test that fails, and skips it', async () => {
    const {lines, isSkipped} = await runWrapped(() => {
      expect(1).to.equal(2);
    });
    expect(isSkipped).to.equal(true);
    expect(lines[0]).to.match(/^KNOWN RED: a test: /);
  });

  it('prints a test that passes, and counts it as passed', async () => {
    const {lines, isSkipped} = await runWrapped(() => undefined);
    expect(isSkipped).to.equal(false);
    expect(lines).to.deep.equal(['KNOWN RED, passes: a test']);
  });

  it('names only tests that stand in the file of their entry', () => {
    const text = readFileSync('KNOWN-RED.txt', 'utf8');
    for (const entry of text.split('\n\n')) {
      const titles = listKnownRedTitles(entry);
      if (titles.length === 0) continue;
      const [path] = entry.trim().split(/\s/);
      const source = readFileSync(path, 'utf8');
      const [, suite] = /describe\('([^']+)'/.exec(source) ?? [];
      for (const title of titles) {
        expect(title.startsWith(`${suite} `), title).to.equal(true);
        const name = title.slice(suite.length + 1);
        expect(source, path).to.include(`it('${name}'`);
      }
    }
  });
});
