import {expect} from 'chai';
import {computePercentiles} from '../../tools/load/run_summary.js';
import {LoadEventKind} from '../../tools/load/load_settings.js';
import type {LoadSettings} from '../../tools/load/load_settings.js';
import type {RunRecord} from '../../tools/load/run_load.js';
import {measureWindows} from '../../tools/load/work_windows.js';

describe('measureWindows', () => {
  it('compares the work of each window with the targets in service', () => {
    const kind = LoadEventKind.DATA_CENTRE_OUT;
    const settings = {
      warmUpMs: 0,
      durationMs: 200,
      events: [{atMs: 100, kind, subject: 'b'}],
    } as unknown as LoadSettings;
    const tasks = Array(9).fill({runMs: 50, declaredMs: 50});
    const run = {job: 0, task: 0, target: 0};
    const record = {
      plan: [{atMs: 0, tasks}],
      runs: [
        {...run, startMs: 0, endMs: 100},
        {...run, target: 1, startMs: 0, endMs: 100},
        {...run, startMs: 100, endMs: 150},
      ],
    } as unknown as RunRecord;
    const target = {slots: 1, slowness: 1, networkMs: 0};
    const windows = measureWindows(settings, record, [
      {...target, isInService: () => true},
      {...target, isInService: atMs => atMs < 100},
    ]);
    expect(windows.map(window => window.share)).to.deep.equal([1, 0.5]);
    expect(windows[1].capacityMs).to.equal(100);
  });
});

describe('computePercentiles', () => {
  it('keeps three digits for ratios near 1', () => {
    const figures = [1.001, 1.002, 1.003, 9];
    const {median, largest, count} = computePercentiles(figures);
    expect(median).to.be.closeTo(1.002, 0.001);
    expect(largest).to.be.closeTo(9, 0.01);
    expect(count).to.equal(4);
  });
});
