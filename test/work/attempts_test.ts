import {expect} from 'chai';
import {RunEnd} from '../../src/lib/core/work_frames.js';
import {JobEnd, JobReason} from '../../src/lib/core/work_job.js';
import {RULE} from '../interleavings/virtual_callers.js';
import {SchedulerFixture} from './scheduler_fixture.js';

const ONE_TASK = {
  count: 1,
  need: {cpuMilli: 100, memoryMb: 1, accelerators: 0},
};

// Guards against a job that is answered as failed (LOST) by a number of attempts that
// nobody has set.
describe('An entry whose task has failed', () => {
  let fixture: SchedulerFixture;

  beforeEach(async () => {
    fixture = SchedulerFixture.create();
    await fixture.connectAgent();
  });

  afterEach(() => fixture.scheduler.stop());

  it('fails the job at the number of attempts that its queue allows', async () => {
    const rule = {...RULE, attemptsAtMost: 1};
    const answers = await fixture.submit(ONE_TASK, rule);
    await fixture.endLatestRun(RunEnd.FAILED);
    expect(answers).to.have.lengthOf(1);
    expect(answers[0]).to.include({
      end: JobEnd.FAILED,
      reason: JobReason.ATTEMPTS_EXHAUSTED,
    });
  });

  it('counts only runs that have failed', async () => {
    const rule = {...RULE, attemptsAtMost: 1};
    for (const end of [RunEnd.LOST, RunEnd.STOPPED, RunEnd.NOT_STARTED]) {
      const answers = await fixture.submit(ONE_TASK, rule);
      await fixture.endLatestRun(end);
      expect(answers, end).to.deep.equal([]);
    }
  });

  it('gives the job up, and not as failed, if the number is not known', async () => {
    const rule = {...RULE, attemptsAtMost: undefined};
    const answers = await fixture.submit(ONE_TASK, rule);
    await fixture.endLatestRun(RunEnd.FAILED);
    expect(answers).to.have.lengthOf(1);
    expect(answers[0]).to.include({
      end: JobEnd.ABANDONED,
      reason: JobReason.ATTEMPTS_EXHAUSTED,
    });
  });
});
