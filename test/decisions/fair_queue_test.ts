import {expect} from 'chai';
import fc from 'fast-check';
import {FairQueue} from '../../src/lib/decisions/fair_queue.js';
import type {QueuedTask} from '../../src/lib/decisions/fair_queue.js';
import {SEED} from './seeded_random.js';

interface JobOptions {
  readonly team?: string;
  readonly rank?: number;
  readonly value?: number;
  readonly sizes: readonly number[];
}

function addJob(queue: FairQueue, job: string, options: JobOptions): void {
  queue.add({
    job,
    team: options.team ?? 'team',
    rank: options.rank ?? 0,
    startByMs: options.rank ?? 0,
    value: options.value ?? 1,
    tasks: options.sizes.map((expectedMs, index) => ({index, expectedMs})),
  });
}

function takeAll(queue: FairQueue): QueuedTask[] {
  const taken: QueuedTask[] = [];
  for (let task = queue.take(); task !== undefined; task = queue.take()) {
    taken.push(task);
  }
  return taken;
}

describe('FairQueue', () => {
  it('serves the tasks of one job together, longest first', () => {
    const queue = FairQueue.create();
    addJob(queue, 'late', {rank: 2, sizes: [1, 1]});
    addJob(queue, 'early', {rank: 1, sizes: [1, 3, 2]});
    const taken = takeAll(queue).map(task => `${task.job}${task.index}`);
    expect(taken.slice(0, 3)).to.deep.equal(['early1', 'early2', 'early0']);
    expect(taken).to.have.length(5);
    expect(queue.workMs).to.equal(0);
  });

  it('removes all tasks of a cancelled job', () => {
    const queue = FairQueue.create();
    addJob(queue, 'gone', {sizes: Array(580).fill(10)});
    addJob(queue, 'kept', {sizes: [10]});
    queue.take();
    expect(queue.removeJob('gone')).to.equal(579);
    expect(takeAll(queue).map(task => task.job)).to.deep.equal(['kept']);
    expect(queue.size).to.equal(0);
  });

  it('serves a returned task first', () => {
    const queue = FairQueue.create();
    addJob(queue, 'first', {rank: 2, sizes: [5]});
    const task = queue.take()!;
    addJob(queue, 'second', {rank: 1, sizes: [5, 5]});
    queue.returnTask(task);
    expect(queue.take()).to.deep.equal(task);
  });

  it('ignores a returned task of a job that has been removed', () => {
    const queue = FairQueue.create();
    addJob(queue, 'gone', {sizes: [5]});
    const task = queue.take()!;
    queue.removeJob('gone');
    queue.returnTask(task);
    expect(queue.size).to.equal(0);
  });

  it('skips a blocked team and serves it once unblocked', () => {
    const queue = FairQueue.create();
    addJob(queue, 'a', {team: 'a', sizes: [1]});
    addJob(queue, 'b', {team: 'b', sizes: [1]});
    queue.blockTeam('a');
    expect(takeAll(queue).map(task => task.job)).to.deep.equal(['b']);
    queue.unblockTeam('a');
    expect(takeAll(queue).map(task => task.job)).to.deep.equal(['a']);
  });

  it('finds the unstarted job of least value per work', () => {
    const queue = FairQueue.create();
    addJob(queue, 'dear', {value: 100, sizes: [10]});
    addJob(queue, 'cheap', {value: 1, rank: 1, sizes: [10]});
    expect(queue.findCheapest()!.job).to.equal('cheap');
    queue.take();
    queue.take();
    expect(queue.findCheapest()).to.equal(undefined);
  });

  it('charges a team for run time beyond what it declared', () => {
    const queue = FairQueue.create();
    addJob(queue, 'a', {team: 'a', sizes: Array(50).fill(10)});
    addJob(queue, 'b', {team: 'b', sizes: Array(50).fill(10)});
    queue.chargeTeam('a', 200);
    const first = Array.from({length: 20}, () => queue.take()!.team);
    expect(first.filter(team => team === 'a')).to.have.length.at.most(1);
  });

  it('shares service by weight within one task of each team', () => {
    const sizes = fc.array(fc.integer({min: 1, max: 1000}), {
      minLength: 200,
      maxLength: 200,
    });
    const weights = fc.array(fc.integer({min: 1, max: 5}), {
      minLength: 2,
      maxLength: 5,
    });
    const property = fc.property(sizes, weights, (work, shares) => {
      const queue = FairQueue.create();
      shares.forEach((weight, team) => {
        addJob(queue, `${team}`, {team: `${team}`, sizes: work});
        queue.setWeight(`${team}`, weight);
      });
      const served = shares.map(() => 0);
      while (shares.every((_, team) => queue.getTeamSize(`${team}`) > 0)) {
        const task = queue.take()!;
        served[Number(task.team)] +=
          task.expectedMs / shares[Number(task.team)];
      }
      expect(Math.max(...served) - Math.min(...served)).to.be.at.most(1000);
    });
    fc.assert(property, {seed: SEED, numRuns: 50});
  });

  it('starves no team and no job while others keep arriving', () => {
    const queue = FairQueue.create();
    addJob(queue, 'patient', {team: 'a', rank: 500, sizes: [1000]});
    let turns = 0;
    for (let job = ''; job !== 'patient'; turns += 1) {
      // Ranks increase with time, as in all orders except by value.
      addJob(queue, `b${turns}`, {team: 'b', rank: turns, sizes: [50, 50]});
      addJob(queue, `a${turns}`, {team: 'a', rank: turns, sizes: [50]});
      job = queue.take()!.job;
    }
    expect(turns).to.be.at.most(2000);
  });

  it('neither loses nor duplicates a task, whatever the order of calls', () => {
    const call = fc.record({
      operation: fc.constantFrom(
        'add',
        'take',
        'take',
        'return',
        'remove',
        'block',
      ),
      choice: fc.nat(9),
      size: fc.integer({min: 1, max: 6}),
    });
    const property = fc.property(fc.array(call, {maxLength: 200}), calls => {
      checkAgainstModel(calls);
    });
    fc.assert(property, {seed: SEED, numRuns: 200});
  });
});

function checkAgainstModel(
  calls: ReadonlyArray<{operation: string; choice: number; size: number}>,
): void {
  const queue = FairQueue.create();
  const waiting = new Set<string>();
  const takenTasks: QueuedTask[] = [];
  const name = (task: QueuedTask) => `${task.job}/${task.index}`;
  calls.forEach(({operation, choice, size}, step) => {
    const jobs = [...waiting].map(key => key.split('/')[0]);
    if (operation === 'add') {
      const sizes = Array.from({length: size}, (_, index) => index + 1);
      addJob(queue, `j${step}`, {team: `t${choice % 3}`, rank: choice, sizes});
      sizes.forEach((_, index) => waiting.add(`j${step}/${index}`));
    } else if (operation === 'take') {
      const task = queue.take();
      if (task === undefined) return;
      expect(waiting.delete(name(task))).to.equal(true);
      takenTasks.push(task);
    } else if (operation === 'return' && takenTasks.length > 0) {
      const [task] = takenTasks.splice(choice % takenTasks.length, 1);
      queue.returnTask(task);
      waiting.add(name(task));
    } else if (operation === 'remove' && jobs.length > 0) {
      const job = jobs[choice % jobs.length];
      const dropped = jobs.filter(each => each === job).length;
      expect(queue.removeJob(job)).to.equal(dropped);
      [...waiting]
        .filter(key => key.startsWith(`${job}/`))
        .forEach(key => waiting.delete(key));
      takenTasks.splice(
        0,
        takenTasks.length,
        ...takenTasks.filter(task => task.job !== job),
      );
    } else if (operation === 'block') {
      queue.blockTeam(`t${choice % 3}`);
      queue.unblockTeam(`t${(choice + 1) % 3}`);
    }
    expect(queue.size).to.equal(waiting.size);
  });
  for (const team of ['t0', 't1', 't2']) queue.unblockTeam(team);
  const rest = takeAll(queue).map(name);
  expect(new Set(rest)).to.deep.equal(waiting);
  expect(rest).to.have.length(waiting.size);
}
