import {expect} from 'chai';
import {LINKS_PER_AGENT} from '../../src/lib/decisions/choose_links.js';
import {JobEnd} from '../../src/lib/core/work_job.js';
import {SchedulerFixture, WARM_UP_MS} from './scheduler_fixture.js';

const ENTRIES = Array.from(
  {length: 4 * LINKS_PER_AGENT},
  (_, index) => `10.0.0.${index + 1}:7720`,
);

// Guards against a job that is answered as failed (LOST) because the agent of the only
// target with its label is linked to other entries: each entry knows a part of the
// agents, so what it has never seen may well be there.
describe('An entry that is linked to a part of the agents', () => {
  let fixture: SchedulerFixture;

  beforeEach(async () => {
    fixture = SchedulerFixture.create();
    await fixture.connectAgent();
  });

  afterEach(() => fixture.scheduler.stop());

  it('fails no job for a label that it has not seen', async () => {
    await fixture.announceEntries(ENTRIES);
    await fixture.wait(WARM_UP_MS);
    const [answer] = await fixture.submit({requiredLabel: 'b'});
    expect(answer?.end).not.to.equal(JobEnd.FAILED);
  });
});
