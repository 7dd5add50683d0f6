import {expect} from 'chai';
import {StoreChangeKind} from '../../src/lib/store/platform_store.js';
import {PlatformStoreState} from '../../stand_ins/platform_store_state.js';
import {StoreAnswerKind, StoreCallKind} from '../../stand_ins/store_call.js';
import type {StoreAnswer} from '../../stand_ins/store_call.js';

function createState(historyLimit = 100): PlatformStoreState {
  let drawn = 0;
  return PlatformStoreState.create({
    historyLimit,
    createLeaseId: () => `lease-${(drawn += 1)}`,
  });
}

function write(
  state: PlatformStoreState,
  key: string,
  expectedRevision: number,
  lease?: string,
): StoreAnswer {
  const call = {key, value: `value of ${key}`, expectedRevision, lease};
  return state.apply({kind: StoreCallKind.WRITE, ...call}, 0);
}

function watch(state: PlatformStoreState, afterRevision: number) {
  return state.collectChanges({
    kind: StoreCallKind.WATCH,
    prefix: 'a',
    afterRevision,
    waitMs: 0,
  });
}

describe('PlatformStoreState', () => {
  it('writes only over the expected revision, with one revision counter for all keys', () => {
    const state = createState();
    expect(write(state, 'a1', 0)).to.include({revision: 1});
    expect(write(state, 'b1', 0)).to.include({revision: 2});
    expect(write(state, 'a1', 0)).to.deep.equal({
      kind: StoreAnswerKind.CONFLICT,
      revision: 1,
    });
    expect(write(state, 'a1', 1)).to.include({revision: 3});
    expect(state.revision).to.equal(3);
  });

  it('deletes the keys of an expired lease and records each deletion as a change', () => {
    const state = createState();
    state.apply({kind: StoreCallKind.OPEN_LEASE, timeToLiveMs: 100}, 0);
    write(state, 'a1', 0, 'lease-1');
    state.apply({kind: StoreCallKind.RENEW_LEASE, lease: 'lease-1'}, 50);
    expect(state.expireLeases(149)).to.equal(false);
    expect(state.expireLeases(150)).to.equal(true);
    expect(watch(state, 1)).to.deep.include({
      revision: 2,
      changes: [
        {kind: StoreChangeKind.DELETED, key: 'a1', value: '', revision: 2},
      ],
    });
    expect(
      state.apply({kind: StoreCallKind.RENEW_LEASE, lease: 'lease-1'}, 151),
    ).to.include({kind: StoreAnswerKind.LEASE_ENDED});
    expect(write(state, 'a1', 0, 'lease-1')).to.include({
      kind: StoreAnswerKind.LEASE_ENDED,
    });
  });

  it('keeps a key that was rewritten without its lease when the lease expires', () => {
    const state = createState();
    state.apply({kind: StoreCallKind.OPEN_LEASE, timeToLiveMs: 100}, 0);
    write(state, 'a1', 0, 'lease-1');
    write(state, 'a1', 1);
    expect(state.expireLeases(1000)).to.equal(false);
    expect(state.valueCount).to.equal(1);
  });

  it('reports compaction to a watch from a discarded revision', () => {
    const state = createState(2);
    for (let i = 0; i < 5; i += 1) write(state, `a${i}`, 0);
    expect(watch(state, 2)).to.deep.include({isCompacted: true, changes: []});
    expect(watch(state, 3)).to.deep.include({isCompacted: false, revision: 5});
    expect(watch(state, 5)).to.equal(undefined);
  });

  it('reads at a stale revision while writes see the latest', () => {
    const state = createState();
    write(state, 'a1', 0);
    write(state, 'a1', 1);
    write(state, 'a2', 0);
    expect(state.setStaleRevision(1)).to.equal(true);
    const list = state.apply({kind: StoreCallKind.LIST, prefix: 'a'}, 0);
    expect(list).to.deep.include({
      revision: 1,
      values: [{key: 'a1', value: 'value of a1', revision: 1}],
    });
    expect(watch(state, 1)).to.equal(undefined);
    expect(write(state, 'a2', 3)).to.include({revision: 4});
    expect(state.setStaleRevision(9)).to.equal(false);
    state.setStaleRevision(undefined);
    expect(watch(state, 3)).to.deep.include({revision: 4});
  });
});
