import {readFileSync, readdirSync} from 'node:fs';
import {expect} from 'chai';
import {PromiseId} from '../../tools/scenario/definition.js';
import {readScenario} from '../../tools/scenario/read_scenario.js';
import {runScenario} from '../../tools/scenario/run_scenario.js';

const FOLDER = new URL('../../../scenarios/', import.meta.url);
const KNOWN_RED = new URL('../../../KNOWN-RED.txt', import.meta.url);
const TIMEOUT_MS = 120_000;

/** Lists the scenarios in KNOWN-RED.txt, which fail for a known fault. */
function listKnownRed(): string[] {
  const text = readFileSync(KNOWN_RED, 'utf8');
  return [...text.matchAll(/^scenarios\/(\S+)$/gm)].map(match => match[1]);
}

// One test for each file; a failing one prints its timeline with the seed.
describe('scenarios', function () {
  this.timeout(TIMEOUT_MS);
  const knownRed = listKnownRed();
  const files = readdirSync(FOLDER).filter(name => name.endsWith('.yaml'));
  it('cover every promise and at least ten pairs of failures', () => {
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
      // The first line contains the seed and the folder of the process output.
      process.stdout.write(`      ${lines[0]}\n`);
      if (!report.isMet && knownRed.includes(file)) {
        process.stdout.write(`${lines.join('\n')}\n      KNOWN RED: ${file}\n`);
        this.skip();
      }
      expect(report.isMet, lines.join('\n')).to.equal(true);
    });
  }
});
