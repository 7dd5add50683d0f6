import {expect} from 'chai';
import {RunEnd, RunEndCause} from '../../src/lib/core/work_frames.js';
import {CAPACITY} from './first_heartbeat.js';
import {ENTRY, PEER, RunnerFixture} from './runner_fixture.js';

const SMALL = {...CAPACITY, cpuMilli: 1000};

// Guards against a start that brings a target over its capacity while that
// changes, and against entries that go on with the earlier figure.
describe('A work runner whose target changes its capacity', () => {
  let fixture: RunnerFixture;

  beforeEach(async () => {
    fixture = await RunnerFixture.create();
    await fixture.settle();
  });

  afterEach(() => fixture.runner.stop());

  it('starts nothing beyond a capacity that has shrunk', async () => {
    fixture.sendOrder('a', ENTRY, 800);
    fixture.sendHeartbeat({capacity: SMALL, sequence: 2});
    fixture.sendOrder('b', ENTRY, 800, 0);
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
    expect(fixture.findEnd('b')).to.include({
      end: RunEnd.NOT_STARTED,
      cause: RunEndCause.NO_CAPACITY,
    });
  });

  it('ignores a heartbeat that is older than the latest one', async () => {
    fixture.sendHeartbeat({capacity: SMALL, sequence: 3});
    fixture.sendHeartbeat({sequence: 2});
    fixture.sendOrder('a', ENTRY, 1500, 0);
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal([]);
    expect(fixture.capacity).to.equal(SMALL.cpuMilli);
  });

  it('ignores a heartbeat of an earlier incarnation', async () => {
    const incarnation = 't1-life-2';
    fixture.sendHeartbeat({incarnation, startMs: 2, capacity: SMALL});
    fixture.sendHeartbeat({sequence: 9});
    await fixture.settle();
    expect(fixture.capacity).to.equal(SMALL.cpuMilli);
  });

  it('takes the figure of a later incarnation whatever its sequence', async () => {
    fixture.sendHeartbeat({sequence: 9});
    const incarnation = 't1-life-2';
    fixture.sendHeartbeat({incarnation, startMs: 2, capacity: SMALL});
    await fixture.settle();
    expect(fixture.capacity).to.equal(SMALL.cpuMilli);
  });

  it('reports the new capacity and what is free of it at once', async () => {
    fixture.sendOrder('a', ENTRY, 800);
    await fixture.settle();
    fixture.sendHeartbeat({capacity: SMALL, sequence: 2});
    await fixture.settle();
    expect(fixture.capacity).to.equal(1000);
    expect(fixture.free).to.equal(200);
    fixture.sendHeartbeat({sequence: 3});
    await fixture.settle();
    expect(fixture.capacity).to.equal(2000);
    expect(fixture.free).to.equal(1200);
  });

  it('reports the largest capacity that the target has had', async () => {
    fixture.sendHeartbeat({capacity: SMALL, sequence: 2});
    await fixture.settle();
    expect(fixture.capacity).to.equal(SMALL.cpuMilli);
    expect(fixture.kinds).to.deep.equal([
      {service: 'runner', labels: [], capacity: CAPACITY},
    ]);
  });

  it('reports the kinds that its target has had in earlier lives', async () => {
    const labels = ['b'];
    fixture.sendHeartbeat({incarnation: 't1-life-2', startMs: 2, labels});
    await fixture.settle();
    expect(fixture.kinds).to.deep.equal([
      {service: 'runner', labels: [], capacity: CAPACITY},
      {service: 'runner', labels, capacity: CAPACITY},
    ]);
  });

  it('returns an order at once that is larger than what is left', async () => {
    fixture.sendOrder('a', ENTRY, 800);
    fixture.sendOrder('large', PEER, 1500);
    await fixture.settle();
    expect(fixture.findEnd('large')).to.equal(undefined);
    fixture.sendHeartbeat({capacity: SMALL, sequence: 2});
    await fixture.settle();
    expect(fixture.findEnd('large')).to.include({
      end: RunEnd.NOT_STARTED,
      cause: RunEndCause.NO_CAPACITY,
    });
  });

  it('returns the orders that wait while more runs than fits', async () => {
    fixture.sendOrder('a', ENTRY, 1500);
    fixture.sendOrder('b', PEER, 800);
    await fixture.settle();
    fixture.sendHeartbeat({capacity: SMALL, sequence: 2});
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
    expect(fixture.findEnd('b')).to.include({
      end: RunEnd.NOT_STARTED,
      cause: RunEndCause.NO_CAPACITY,
    });
  });

  it('starts a waiting order when the capacity grows back', async () => {
    fixture.sendHeartbeat({capacity: SMALL, sequence: 2});
    fixture.sendOrder('a', ENTRY, 800);
    fixture.sendOrder('b', ENTRY, 800);
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a']);
    fixture.sendHeartbeat({sequence: 3});
    await fixture.settle();
    expect(fixture.listStarted()).to.deep.equal(['a', 'b']);
  });
});
