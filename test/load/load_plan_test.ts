import {expect} from 'chai';
import {computeCapacity, createPlan} from '../../tools/load/load_plan.js';
import {
  LOAD_SETTINGS_SCHEMA,
  LoadEventKind,
} from '../../tools/load/load_settings.js';
import {checkSettings} from '../../src/lib/settings/read_settings.js';
import {SettingsSource} from '../../src/lib/settings/settings_source.js';
import {createRandom, SEED} from '../decisions/seeded_random.js';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

function readSettingsText(text: string) {
  const folder = mkdtempSync(join(tmpdir(), 'foxtailbay-'));
  try {
    const file = join(folder, 'load.yaml');
    writeFileSync(file, `schemaVersion: 1\nname: test\n${text}`);
    return checkSettings(SettingsSource.create(file), LOAD_SETTINGS_SCHEMA);
  } finally {
    rmSync(folder, {recursive: true});
  }
}

describe('createPlan', () => {
  it('offers the work that matches the utilisation', () => {
    const settings = readSettingsText('durationMs: 2000000\n');
    const plan = createPlan(settings, createRandom(SEED));
    const work = plan
      .flatMap(job => job.tasks)
      .reduce((sum, task) => sum + task.runMs, 0);
    const share = work / 2_003_000 / computeCapacity(settings.fleet);
    expect(share).to.be.within(0.69, 0.72);
  });

  it('generates the same plan from the same seed', () => {
    const settings = readSettingsText('durationMs: 5000\n');
    const draw = () => createPlan(settings, createRandom(SEED));
    expect(draw()).to.deep.equal(draw());
  });

  it('limits the error of declared run times to the given factor', () => {
    const settings = readSettingsText('load: {declaredErrorFactor: 10}\n');
    const plan = createPlan(settings, createRandom(SEED));
    for (const {runMs, declaredMs} of plan.flatMap(job => job.tasks)) {
      expect(declaredMs / runMs).to.be.within(0.09, 10.1);
    }
  });
});

describe('LOAD_SETTINGS_SCHEMA', () => {
  it('reports the path of an invalid list item', () => {
    const text = 'load: {teams: [{name: a, share: -1}]}\n';
    expect(() => readSettingsText(text)).to.throw(/teams/);
  });

  it('accepts events', () => {
    const text = 'events: [{atMs: 5, kind: store-down}]\n';
    const kind = LoadEventKind.STORE_DOWN;
    expect(readSettingsText(text).events[0].kind).to.equal(kind);
  });
});
