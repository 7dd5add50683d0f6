import {expect} from 'chai';
import type {EntryPong} from '../../src/lib/core/link_messages.js';
import {
  DataCentreState,
  StartPermission,
} from '../../src/lib/decisions/start_permission.js';
import {StoreContact} from '../../src/lib/records/configuration_view.js';

const NOW_MS = 1000;
const REVISION = 5;

function createPong(configurationRevision: number): EntryPong {
  return {
    pingSentAtMs: NOW_MS,
    contact: StoreContact.LOST,
    confirmedAgeMs: 60_000,
    configurationRevision,
    isLeaving: false,
  };
}

// Guards against starts in a data centre that was taken out: a change counts as accepted
// once a majority of the entries hold it, one of them restarts while the store is down
// and holds nothing, and its answer still completes a majority at an agent.
describe('A permission without the store', () => {
  let permission: StartPermission;

  beforeEach(() => {
    permission = StartPermission.create({dataCentre: 'a', freshMs: 4000});
    const entries = ['x', 'y', 'z'].map(id => ({
      id,
      incarnation: id,
      address: `${id}:1`,
    }));
    permission.adoptConfiguration({
      revision: REVISION,
      dataCentresOut: [],
      entries,
    });
    permission.confirm('x', createPong(REVISION));
  });

  it('does not count an entry that has restarted without a configuration', () => {
    permission.confirm('y', createPong(0));
    expect(permission.judge(NOW_MS).state).to.equal(DataCentreState.UNKNOWN);
  });

  it('counts an entry that has one', () => {
    permission.confirm('y', createPong(REVISION));
    expect(permission.judge(NOW_MS).state).to.equal(DataCentreState.IN);
  });
});
