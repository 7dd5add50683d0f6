import {expect} from 'chai';
import {EntryFrameKind, RunEnd} from '../../src/lib/core/work_frames.js';
import {JobEnd} from '../../src/lib/core/work_job.js';
import type {JobAnswer} from '../../src/lib/core/work_job.js';
import {SchedulerFixture} from './scheduler_fixture.js';

const JOB = 'a'.padStart(16, '0');

/** Time in milliseconds in which the entry places a task that is returned. */
const PLACEMENT_MS = 600;

// Guards against the end of an earlier run that is taken for the end of the one that has
// its number (a further order while that one runs, or a job answered as completed): a job
// that its caller left comes again as run 1, while the end of the first is on its way.
describe('An entry that orders run 1 again while the end of the first is on its way', () => {
  let fixture: SchedulerFixture;
  let first: string;
  let answers: readonly JobAnswer[];

  beforeEach(async () => {
    fixture = SchedulerFixture.create();
    await fixture.connectAgent();
    await fixture.submit({count: 1}, undefined, JOB);
    [first] = fixture.listOrders();
    await fixture.disconnectCaller(JOB);
    answers = await fixture.submit({count: 1}, undefined, JOB);
  });

  afterEach(() => fixture.scheduler.stop());

  /** Lists the sequences of the orders that no stop has followed. */
  function listUnstopped(): number[] {
    const orders = new Map<number, string>();
    for (const frame of fixture.sent) {
      if (frame.kind === EntryFrameKind.ORDER) {
        const {task, run, sequence} = frame.order;
        orders.set(sequence, `${task}#${run}`);
      }
      if (frame.kind !== EntryFrameKind.STOP) continue;
      for (const [sequence, name] of orders) {
        if (name === `${frame.task}#${frame.run}`) orders.delete(sequence);
      }
    }
    return [...orders.keys()];
  }

  it('orders no further run beside the one in progress', async () => {
    await fixture.endRun(first, RunEnd.STOPPED);
    await fixture.wait(PLACEMENT_MS);
    expect(listUnstopped()).to.have.lengthOf(1);
  });

  it('does not answer the job as completed', async () => {
    await fixture.endRun(first, RunEnd.DONE);
    await fixture.wait(PLACEMENT_MS);
    expect(answers.map(({end}) => end)).not.to.include(JobEnd.COMPLETED);
  });

  it('answers the job as completed at the end of the later run', async () => {
    await fixture.endLatestRun(RunEnd.DONE);
    expect(answers.map(({end}) => end)).to.deep.equal([JobEnd.COMPLETED]);
  });
});
