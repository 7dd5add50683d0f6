import {expect} from 'chai';
import {startTimer} from '../../src/lib/core/clock.js';
import {waitUntil} from '../wait_until.js';
import {createJobBody, createJobPath} from './fleet_fixture.js';
import {createCutOrders, createLateCalls} from './late_calls.js';
import {RackFixture} from './rack_fixture.js';
import type {StartOptions} from './rack_fixture.js';

/** Run time of a task, longer than an agent takes to notice a crash. */
const RUN_MS = 600;

/** Longer than a rack's other agents take to notice that their targets have ended. */
const REBIRTH_DELAY_MS = 1500;

/** Load while racks crash: half of the capacity of the targets. */
const CALLERS = 6;
const TASKS_PER_JOB = 2;
const SHORT_RUN_MS = 150;

/** Number of crashes of a rack. */
const ROUNDS = 4;

/** Time after which a refused caller comes again. */
const RETRY_PAUSE_MS = 50;

function pauseCaller(): Promise<void> {
  return new Promise(resolve => startTimer(RETRY_PAUSE_MS, resolve));
}

// Guards against jobs shown as failed though one target only has crashed under each of
// their tasks (LOST): the targets of a rack end at once, an agent reports its runs as
// lost, and its entry places them on targets of which the agents have noticed nothing.
describe('The targets of a rack that end at the same moment', function () {
  this.timeout(60_000);
  let rack: RackFixture;
  let isSubmitting: boolean;
  let flow: Promise<unknown>;

  beforeEach(async () => {
    rack = await RackFixture.create();
    flow = Promise.resolve();
  });

  afterEach(async () => {
    isSubmitting = false;
    await flow;
    await rack.fleet.close();
  });

  const start = (
    targets: readonly string[],
    createWrapper: StartOptions['createWrapper'],
  ) => rack.start({entries: ['entry-1'], targets, createWrapper});

  it('fail no job of which an order is delayed on its way to one of them', async () => {
    const names = ['t1', 't2'];
    let first = '';
    await start(names, name =>
      createLateCalls(rack.fleet, name, () => name !== first),
    );
    const path = createJobPath();
    const submission = rack.submit(path, createJobBody(1, RUN_MS));
    first = await rack.findRunning();
    rack.cutRack(names, REBIRTH_DELAY_MS);
    const {body} = await submission;
    expect(rack.hasCrashedTwice(path)).to.equal(false);
    expect(body).to.deep.equal({state: 'completed'});
  });

  it('fail no job of which the connection of an order breaks', async () => {
    let first = '';
    const ended = new Set<string>();
    await start(['t1', 't2'], name =>
      createCutOrders(() => {
        if (first === '' || name === first || ended.has(name)) return;
        ended.add(name);
        rack.cutRack([name], REBIRTH_DELAY_MS);
      }),
    );
    const path = createJobPath();
    const submission = rack.submit(path, createJobBody(1, RUN_MS));
    first = await rack.findRunning();
    rack.cutRack([first], REBIRTH_DELAY_MS);
    const {body} = await submission;
    expect(ended.size, 'targets that ended as an order was sent').to.equal(1);
    expect(rack.hasCrashedTwice(path)).to.equal(false);
    expect(body).to.deep.equal({state: 'completed'});
  });

  it('fail none of many jobs that are placed meanwhile', async () => {
    const racks = [
      ['t1', 't2', 't3'],
      ['t4', 't5', 't6'],
    ];
    const isLate = (name: string) => racks.some(names => names[0] === name);
    await start(racks.flat(), name =>
      createLateCalls(rack.fleet, name, () => isLate(name)),
    );
    isSubmitting = true;
    const lost: string[] = [];
    const pending = new Set<string>();
    let served = 0;
    const submitNext = async (): Promise<void> => {
      while (isSubmitting) {
        const path = createJobPath();
        const job = createJobBody(TASKS_PER_JOB, SHORT_RUN_MS);
        pending.add(path);
        const {status, body} = await rack.submit(path, job);
        pending.delete(path);
        if (body.state === 'completed') served += 1;
        if (body.state === 'failed' && !rack.hasCrashedTwice(path)) {
          lost.push(path);
        }
        if (status !== 200) await pauseCaller();
      }
    };
    flow = Promise.all(Array.from({length: CALLERS}, submitNext));
    for (let round = 0; round < ROUNDS; round += 1) {
      const names = racks[round % racks.length];
      const targets = names.map(name => rack.targets.get(name));
      await waitUntil('all targets of the rack run a task', () =>
        targets.every(target => (target?.listRunning().length ?? 0) > 0),
      );
      const concerned = [...pending];
      rack.cutRack(names);
      // No job is there when two racks crash.
      await waitUntil('the targets are back and the jobs are answered', () => {
        const areOpen = targets.every(target => target?.isOpen === true);
        return areOpen && !concerned.some(path => pending.has(path));
      });
    }
    isSubmitting = false;
    await flow;
    expect(lost, `shown as failed, beside ${served} completed`).to.deep.equal(
      [],
    );
  });
});
