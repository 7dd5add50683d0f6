import {readdirSync} from 'node:fs';
import {expect} from 'chai';
import {readScenario} from '../../tools/scenario/read_scenario.js';
import {runScenario} from '../../tools/scenario/run_scenario.js';

const FOLDER = new URL('../../../scenarios/', import.meta.url);
const TIMEOUT_MS = 120_000;

// One mocha test a file; a failing one prints its timeline with the seed.
describe('scenarios', function () {
  this.timeout(TIMEOUT_MS);
  const files = readdirSync(FOLDER).filter(name => name.endsWith('.yaml'));
  for (const file of files) {
    const scenario = readScenario(new URL(file, FOLDER));
    it(`${file} [${scenario.proves.join(' ')}]: ${scenario.title}`, async () => {
      const lines: string[] = [];
      const report = await runScenario(scenario, {
        show: line => lines.push(line),
      });
      expect(report.isMet, lines.join('\n')).to.equal(true);
    });
  }
});
