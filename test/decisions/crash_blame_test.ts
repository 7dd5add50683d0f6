import {expect} from 'chai';
import {BlameVerdict, CrashBlame} from '../../src/lib/decisions/crash_blame.js';
import type {CrashedRun} from '../../src/lib/core/work_frames.js';

const RETENTION_MS = 30_000;

function createRun(
  task: string,
  ranMs: number,
  changes: Partial<CrashedRun> = {},
): CrashedRun {
  return {task, job: `job-${task}`, ranMs, ...changes};
}

// Guards against a deadly task that is repeated without limit, and against the
// tasks beside it being given up in its place.
describe('CrashBlame', () => {
  let blame: CrashBlame;
  let crashes: number;

  beforeEach(() => {
    blame = CrashBlame.create();
    crashes = 0;
  });

  function recordCrash(runs: readonly CrashedRun[], nowMs = 0): boolean {
    crashes += 1;
    return blame.recordCrash({life: `t${crashes}`, ageMs: 0, runs}, nowMs);
  }

  it('knows nothing of a task that was on no crashed target', () => {
    expect(blame.judge('a')).to.equal(BlameVerdict.NONE);
    expect(blame.describe('a')).to.equal(undefined);
  });

  it('only suspects a task that was alone on one crashed target', () => {
    recordCrash([createRun('a', 5)]);
    expect(blame.judge('a')).to.equal(BlameVerdict.SUSPECT);
  });

  it('gives a task up that was alone on two crashed targets', () => {
    recordCrash([createRun('a', 5)]);
    recordCrash([createRun('a', 5)]);
    expect(blame.judge('a')).to.equal(BlameVerdict.DEADLY);
    expect(blame.hasDeadlyTask('job-a')).to.equal(true);
  });

  it('gives the only task up that two crashed targets had in common', () => {
    recordCrash([createRun('a', 20), createRun('b', 20), createRun('c', 200)]);
    recordCrash([createRun('a', 20), createRun('d', 60), createRun('e', 300)]);
    expect(blame.judge('a')).to.equal(BlameVerdict.DEADLY);
    for (const task of ['b', 'c', 'd', 'e']) {
      expect(blame.judge(task)).not.to.equal(BlameVerdict.DEADLY);
    }
  });

  it('gives none up of two that were on both crashed targets', () => {
    const runs = [createRun('a', 20), createRun('b', 20)];
    recordCrash(runs);
    recordCrash(runs);
    for (const task of ['a', 'b']) {
      expect(blame.judge(task)).to.equal(BlameVerdict.SUSPECT);
    }
  });

  it('does not suspect a task that had run for long when a new one crashed it', () => {
    recordCrash([createRun('old', 400), createRun('new', 10)]);
    expect(blame.judge('old')).to.equal(BlameVerdict.NONE);
    expect(blame.judge('new')).to.equal(BlameVerdict.SUSPECT);
  });

  it('does not give a task up that was beside two different deadly ones', () => {
    recordCrash([createRun('neighbour', 250), createRun('deadly-1', 10)]);
    recordCrash([createRun('neighbour', 250), createRun('deadly-2', 10)]);
    expect(blame.judge('neighbour')).to.equal(BlameVerdict.SUSPECT);
    expect(blame.judge('deadly-2')).to.equal(BlameVerdict.SUSPECT);
  });

  it('blames a task that crashes late in its run once it was apart', () => {
    recordCrash([createRun('late', 900), createRun('young', 20)]);
    recordCrash([createRun('late', 900), createRun('other', 800)]);
    expect(blame.judge('late')).to.equal(BlameVerdict.SUSPECT);
    recordCrash([createRun('late', 900)]);
    expect(blame.judge('late')).to.equal(BlameVerdict.DEADLY);
  });

  it('lets no task run again after three crashes, whatever explains them', () => {
    for (let count = 0; count < 3; count += 1) {
      recordCrash([createRun('a', 20), createRun('b', 20)]);
    }
    expect(blame.judge('a')).to.equal(BlameVerdict.DEADLY);
  });

  it('clears a task that has ended with success', () => {
    recordCrash([createRun('a', 20)]);
    blame.recordSuccess('a');
    recordCrash([createRun('a', 20), createRun('b', 20)]);
    expect(blame.judge('a')).to.equal(BlameVerdict.SUSPECT);
  });

  it('counts a crash once that several agents or hellos report', () => {
    const runs = [createRun('a', 5)];
    expect(blame.recordCrash({life: 't', ageMs: 0, runs}, 0)).to.equal(true);
    expect(blame.recordCrash({life: 't', ageMs: 9, runs}, 0)).to.equal(false);
    expect(blame.judge('a')).to.equal(BlameVerdict.SUSPECT);
  });

  it('adds to what another entry knew when it sent the order', () => {
    const suspicion = {crashes: 1, blame: 0.5};
    recordCrash([createRun('a', 5, {suspicion}), createRun('b', 40)]);
    expect(blame.judge('a')).to.equal(BlameVerdict.DEADLY);
  });

  it('forgets crashes after the retention time', () => {
    recordCrash([createRun('a', 5)]);
    recordCrash([createRun('b', 5)], RETENTION_MS);
    expect(blame.judge('a')).to.equal(BlameVerdict.NONE);
  });

  it('keeps a bounded number of tasks, the latest ones', () => {
    for (let count = 0; count < 200; count += 1) {
      const runs = Array.from({length: 20}, (_, index) =>
        createRun(`${count}-${index}`, 5),
      );
      recordCrash(runs, 1);
    }
    recordCrash([createRun('last', 5)], 1);
    expect(blame.describe('0-0')).to.equal(undefined);
    expect(blame.judge('last')).to.equal(BlameVerdict.SUSPECT);
  });
});
