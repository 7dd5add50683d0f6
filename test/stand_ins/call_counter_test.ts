import {expect} from 'chai';
import {CallCounter} from '../../stand_ins/call_counter.js';
import {StoreCallKind} from '../../stand_ins/store_call.js';

describe('CallCounter', () => {
  it('limits reads and writes per second separately', () => {
    const counter = CallCounter.create({writesPerSecond: 2, readsPerSecond: 3});
    const countMany = (kind: StoreCallKind, nowMs: number) =>
      [1, 2, 3, 4].map(() => counter.count(kind, nowMs));
    expect(countMany(StoreCallKind.WRITE, 100)).to.deep.equal([
      true,
      true,
      false,
      false,
    ]);
    expect(countMany(StoreCallKind.WATCH, 999)).to.deep.equal([
      true,
      true,
      true,
      false,
    ]);
    expect(counter.count(StoreCallKind.RENEW_LEASE, 1000)).to.equal(true);
    expect(counter.getCounts()).to.deep.include({
      total: 9,
      rateLimited: 3,
      writes: 5,
      reads: 4,
      writesPerSecondMaximum: 4,
      readsPerSecondMaximum: 4,
    });
  });
});
