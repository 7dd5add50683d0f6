import {expect} from 'chai';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import {createJobBody, createJobPath} from './fleet_fixture.js';
import type {Reply} from './fleet_fixture.js';
import {createLostAnswers} from './late_calls.js';
import {RackFixture} from './rack_fixture.js';

/** Number of crashes after which a task that crashes targets gets no run. */
const MAX_CRASHES = 3;

/** Number of crashes under runs that are known to have started that end a job. */
const MIN_PROVEN = 2;

/** Crashes its target long before its end. */
const DEADLY_BODY = {...createJobBody(1, 2000), spec: '2000/1000/deadly'};

/** Ends soon after the crash would come. */
const SHORT_DEADLY_BODY = {...createJobBody(1, 40), spec: '40/1000/deadly'};

const FAILED = {state: 'failed', reason: 'targets-crashed'};

// Guards against the opposite fault: a task that crashes each target on which it starts
// goes on from target to target, as the crashes under it count for nothing.
describe('A task that crashes each target, with answers lost now and then,', function () {
  this.timeout(60_000);
  const targets = ['t1', 't2', 't3', 't4', 't5'];
  let rack: RackFixture;
  /** Number of start orders, and of those whose acceptance its agent was told of. */
  let orders: number;
  let accepted: number;

  beforeEach(async () => {
    rack = await RackFixture.create();
    orders = 0;
    accepted = 0;
  });

  afterEach(() => rack.fleet.close());

  /** Starts a fleet of which the answers to some orders of deadly tasks are lost. */
  async function startLosing(
    isLost: (order: number) => boolean,
  ): Promise<void> {
    const createWrapper = () =>
      createLostAnswers(({outcome}) => {
        orders += 1;
        if (isLost(orders)) return true;
        if (outcome === OrderOutcome.ACCEPTED) accepted += 1;
        return false;
      });
    await rack.start({entries: ['entry-1'], targets, createWrapper});
  }

  /** Submits it, and once more after its answer. */
  async function submitTwice(
    job: Readonly<Record<string, unknown>> = DEADLY_BODY,
  ): Promise<Reply> {
    const path = createJobPath();
    const reply = await rack.submit(path, job);
    const crashes = rack.listDeadly().length;
    expect(crashes).to.be.at.most(MAX_CRASHES);
    await rack.submit(path, job);
    expect(rack.listDeadly(), 'after its answer').to.have.lengthOf(crashes);
    return reply;
  }

  it('is given up after two crashes', async () => {
    await startLosing(() => false);
    const {body} = await submitTwice();
    expect(body).to.deep.equal(FAILED);
    expect(rack.listDeadly()).to.have.lengthOf(2);
  });

  it('is given up after two crashes if its runs are short', async () => {
    await startLosing(() => false);
    const {body} = await submitTwice(SHORT_DEADLY_BODY);
    expect(body).to.deep.equal(FAILED);
    expect(rack.listDeadly()).to.have.lengthOf(2);
  });

  for (const lost of [1, 2]) {
    it(`is given up if the answer to order ${lost} is lost`, async () => {
      await startLosing(order => order === lost);
      const {body} = await submitTwice();
      const isProven = accepted >= MIN_PROVEN;
      expect(body, `${accepted} answers arrived`).to.deep.equal(
        isProven ? FAILED : {reason: 'crashes-suspected'},
      );
    });
  }

  it('gets no further run after three crashes if all answers are lost', async () => {
    await startLosing(() => true);
    await submitTwice();
    expect(rack.listDeadly().length).to.be.at.least(2);
  });
});
