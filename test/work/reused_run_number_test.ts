import {expect} from 'chai';
import {RunEnd} from '../../src/lib/core/work_frames.js';
import {ENTRY, RunnerFixture} from './runner_fixture.js';

// Guards against the end of an earlier run that is taken for the end of the one that
// has its number: a job that is cancelled and comes again begins with run 1, while
// the acknowledgement of the first run 1 was lost with its link.
describe('A work runner that gets the number of an ended run again', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.sendOrder('a', ENTRY, 100_000, 0);
    await fixture.settle();
  });

  afterEach(() => fixture.runner.stop());

  async function replaceLink(): Promise<void> {
    fixture.openLink(ENTRY, 9, fixture.nowMs);
    await fixture.settle();
  }

  it('repeats the end in its hello before the next order', async () => {
    await replaceLink();
    expect(
      fixture.greetedEnds.map(({task, run, end}) => [task, run, end]),
    ).to.deep.equal([['a', 1, RunEnd.NOT_STARTED]]);
  });

  it('does not repeat it while the later run goes on', async () => {
    fixture.sendOrder('a');
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
    await replaceLink();
    expect(fixture.greetedEnds).to.deep.equal([]);
  });
});
