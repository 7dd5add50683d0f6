import {expect} from 'chai';
import {JobEnd, JobReason} from '../../src/lib/core/work_job.js';
import type {JobAnswer} from '../../src/lib/core/work_job.js';
import {
  FULL,
  NEED,
  SchedulerFixture,
  TARGET,
  WARM_UP_MS,
} from './scheduler_fixture.js';

const SHRUNK = {
  ...TARGET,
  capacity: {...FULL, cpuMilli: 6000},
};

/** What an agent reports that has seen the target before it shrank. */
const KINDS = [
  {service: TARGET.service, labels: TARGET.labels, capacity: FULL},
];

// Guards against a job that is answered as failed (LOST) because the capacity of the
// targets is small at the moment, though it fits them before and after.
describe('An entry whose targets shrink', () => {
  let fixture: SchedulerFixture;

  beforeEach(() => {
    fixture = SchedulerFixture.create();
  });

  afterEach(() => fixture.scheduler.stop());

  function expectRetry(answers: readonly JobAnswer[]): void {
    expect(answers).to.have.lengthOf(1);
    expect(answers[0]).to.include({
      end: JobEnd.REFUSED,
      reason: JobReason.NO_TARGET,
    });
    expect(answers[0].retryAfterMs).to.be.above(0);
  }

  it('refuses a job that fits their full capacity, with a time to retry', async () => {
    await fixture.connectAgent();
    await fixture.wait(WARM_UP_MS);
    await fixture.wait(200, SHRUNK);
    expectRetry(await fixture.submit());
  });

  it('admits the jobs that fit now', async () => {
    await fixture.connectAgent();
    await fixture.wait(WARM_UP_MS);
    await fixture.wait(200, SHRUNK);
    const need = {...NEED, cpuMilli: 2000};
    expect(await fixture.submit({need})).to.deep.equal([]);
    await fixture.wait(200);
    expect(await fixture.submit()).to.deep.equal([]);
  });

  it('learns their full capacity from an agent if it starts meanwhile', async () => {
    const shrunk = {...SHRUNK, kinds: KINDS};
    await fixture.connectAgent(shrunk);
    await fixture.wait(WARM_UP_MS, shrunk);
    expectRetry(await fixture.submit());
  });

  it('keeps their full capacity if the agent restarts and forgets it', async () => {
    const full = {...TARGET, kinds: KINDS};
    await fixture.connectAgent(full);
    await fixture.wait(WARM_UP_MS, full);
    const kinds = [{...KINDS[0], capacity: SHRUNK.capacity}];
    await fixture.wait(200, {...SHRUNK, kinds});
    expectRetry(await fixture.submit());
  });

  it('fails a job at once that fits no kind of target ever known', async () => {
    await fixture.connectAgent();
    await fixture.wait(WARM_UP_MS);
    const need = {...NEED, cpuMilli: FULL.cpuMilli + 1};
    for (const changes of [{need}, {requiredLabel: 'b'}]) {
      const [answer] = await fixture.submit(changes);
      expect(answer).to.include({
        end: JobEnd.FAILED,
        reason: JobReason.TOO_LARGE,
      });
    }
  });

  it('fails no job as too large before it knows a target', async () => {
    fixture.nowMs += WARM_UP_MS;
    expectRetry(await fixture.submit());
  });
});
