import {expect} from 'chai';
import {CAPACITY} from './first_heartbeat.js';
import {ENTRY, PEER, RunnerFixture} from './runner_fixture.js';

const FORMER_LINK = 1;
const LATEST_LINK = 3;

// Guards against two runs of one task: an order arrives by an older link after the hello
// on a newer one, which did not list it, so that the entry has placed it elsewhere.
describe('A work runner whose entry is linked anew', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    fixture.openLink(ENTRY, LATEST_LINK, fixture.nowMs);
    fixture.sendPong(fixture.nowMs);
  });

  afterEach(() => fixture.runner.stop());

  function sendOrder(task: string, linkId: number, entry = ENTRY): void {
    fixture.sendOrder(task, entry, CAPACITY.cpuMilli / 4, 0, {}, linkId);
  }

  it('starts no order that arrives by the former link', async () => {
    sendOrder('a', FORMER_LINK);
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal([]);
  });

  it('starts the orders that arrive by the latest link', async () => {
    sendOrder('a', FORMER_LINK);
    sendOrder('b', LATEST_LINK);
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['b']);
  });

  it('starts the orders of other entries', async () => {
    sendOrder('a', 2, PEER);
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
  });

  it('starts no order that arrives by a link that has closed', async () => {
    fixture.closeLink(ENTRY, LATEST_LINK);
    sendOrder('a', LATEST_LINK);
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal([]);
  });

  it('numbers its hellos as they are written, not as the links were opened', async () => {
    fixture.openLink(ENTRY, LATEST_LINK - 1, fixture.nowMs);
    await fixture.settle();
    expect(fixture.hellos).to.deep.equal([1, 2, 3, 4]);
  });
});
