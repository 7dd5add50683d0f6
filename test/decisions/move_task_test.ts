import {expect} from 'chai';
import {isWorthMoving} from '../../src/lib/decisions/move_task.js';

describe('isWorthMoving', () => {
  // A target becomes six times slower while it runs tasks of 1.3 s.
  it('moves a run with most of its work left from a target that became slow', () => {
    const run = {estimateMs: 1286, slowness: 6.3};
    expect(isWorthMoving({...run, elapsedMs: 200})).to.equal(true);
    expect(isWorthMoving({...run, elapsedMs: 6500})).to.equal(false);
  });

  it('leaves runs on the slowest healthy targets', () => {
    const run = {estimateMs: 1286, elapsedMs: 0, slowness: 1.9};
    expect(isWorthMoving(run)).to.equal(false);
    // The slowness measured on a busy host whose own agent is short of processor
    // time.
    expect(isWorthMoving({...run, slowness: 2.6})).to.equal(false);
  });

  it('leaves short runs that a move would not speed up', () => {
    const run = {estimateMs: 40, elapsedMs: 60, slowness: 5};
    expect(isWorthMoving(run)).to.equal(false);
  });
});
