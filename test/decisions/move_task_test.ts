import {expect} from 'chai';
import {isWorthMoving} from '../../src/lib/decisions/move_task.js';

describe('isWorthMoving', () => {
  // Pattern: a target turns six times slower with bookings of 1.3 s on it.
  it('leaves a target that has turned slow while most is to be done', () => {
    const run = {estimateMs: 1286, slowness: 6.3};
    expect(isWorthMoving({...run, elapsedMs: 200})).to.equal(true);
    expect(isWorthMoving({...run, elapsedMs: 6500})).to.equal(false);
  });

  it('stays on the slowest sound targets', () => {
    const run = {estimateMs: 1286, elapsedMs: 0, slowness: 1.9};
    expect(isWorthMoving(run)).to.equal(false);
    // As measured on a busy host while its own agent was short of time.
    expect(isWorthMoving({...run, slowness: 2.6})).to.equal(false);
  });

  it('lets short runs end where moving costs as much', () => {
    const run = {estimateMs: 40, elapsedMs: 60, slowness: 5};
    expect(isWorthMoving(run)).to.equal(false);
  });
});
