import {readFileSync, readdirSync} from 'node:fs';
import {expect} from 'chai';
import {PromiseId} from '../../tools/scenario/definition.js';
import {readScenario} from '../../tools/scenario/read_scenario.js';
import {runScenario} from '../../tools/scenario/run_scenario.js';

const FOLDER = new URL('../../../scenarios/', import.meta.url);
const KNOWN_RED = new URL('../../../KNOWN-RED.txt', import.meta.url);
const TIMEOUT_MS = 120_000;

/** Lists the scenarios that fail for a fault that is known and not mended. */
function listKnownRed(): string[] {
  const text = readFileSync(KNOWN_RED, 'utf8');
  return [...text.matchAll(/^scenarios\/(\S+)$/gm)].map(match => match[1]);
}

// One mocha test a file; a failing one prints its timeline with the seed.
describe('scenarios', function () {
  this.timeout(TIMEOUT_MS);
  const knownRed = listKnownRed();
  const files = readdirSync(FOLDER).filter(name => name.endsWith('.yaml'));
  it('cover every promise, and pairs of failures', () => {
    const proven = files.flatMap(file => [
      ...readScenario(new URL(file, FOLDER)).proves,
    ]);
    expect(proven).to.include.members(Object.values(PromiseId));
    const pairs = files.filter(file => file.startsWith('pair_'));
    expect(pairs.length).to.be.at.least(10);
  });

  for (const file of files) {
    const scenario = readScenario(new URL(file, FOLDER));
    it(`${file} [${scenario.proves.join(' ')}]: ${scenario.title}`, async function () {
      const lines: string[] = [];
      const report = await runScenario(scenario, {
        show: line => lines.push(line),
      });
      // The first line holds the seed and the folder of the processes' output.
      process.stdout.write(`      ${lines[0]}\n`);
      if (!report.isMet && knownRed.includes(file)) {
        process.stdout.write(`${lines.join('\n')}\n      KNOWN RED: ${file}\n`);
        this.skip();
      }
      expect(report.isMet, lines.join('\n')).to.equal(true);
    });
  }
});
