import {expect} from 'chai';
import type {
  AgentConfiguration,
  EntryPong,
} from '../../src/lib/core/link_messages.js';
import {
  DataCentreState,
  StartPermission,
} from '../../src/lib/decisions/start_permission.js';
import {StoreContact} from '../../src/lib/records/configuration_view.js';

const FRESH_MS = 4000;
const ENTRIES = ['x', 'y', 'z'].map(id => ({
  id,
  incarnation: id,
  address: `${id}:1`,
}));

function createPermission(
  configuration: Partial<AgentConfiguration> = {},
): StartPermission {
  const permission = StartPermission.create({
    dataCentre: 'a',
    freshMs: FRESH_MS,
  });
  permission.adoptConfiguration({
    revision: 5,
    dataCentresOut: [],
    entries: ENTRIES,
    ...configuration,
  });
  return permission;
}

function createPong(overrides: Partial<EntryPong>): EntryPong {
  return {
    pingSentAtMs: 1000,
    contact: StoreContact.CONFIRMED,
    confirmedAgeMs: 0,
    configurationRevision: 5,
    isLeaving: false,
    ...overrides,
  };
}

const LOST = {contact: StoreContact.LOST, confirmedAgeMs: 60_000};

describe('StartPermission', () => {
  it('allows nothing without evidence', () => {
    const {state, expiresAtMs} = createPermission().judge(1000);
    expect(state).to.equal(DataCentreState.UNKNOWN);
    expect(expiresAtMs).to.equal(0);
  });

  it('allows nothing without a configuration', () => {
    const permission = StartPermission.create({
      dataCentre: 'a',
      freshMs: FRESH_MS,
    });
    permission.confirm('x', createPong({configurationRevision: 0}));
    expect(permission.judge(1000).state).to.equal(DataCentreState.UNKNOWN);
  });

  it('dates evidence from the time the ping was sent, less the stated age', () => {
    const permission = createPermission();
    permission.confirm('x', createPong({confirmedAgeMs: 700}));
    expect(permission.judge(1001).expiresAtMs).to.equal(1000 - 700 + FRESH_MS);
  });

  it('treats an answer that waited through a freeze as old', () => {
    const permission = createPermission();
    permission.confirm('x', createPong({pingSentAtMs: 1000}));
    const thawedAtMs = 1000 + FRESH_MS + 1;
    expect(permission.judge(thawedAtMs).state).to.equal(
      DataCentreState.UNKNOWN,
    );
  });

  it('does not let an older answer replace a newer one', () => {
    const permission = createPermission();
    permission.confirm('x', createPong({pingSentAtMs: 3000}));
    permission.confirm('x', createPong({pingSentAtMs: 1000}));
    expect(permission.judge(3001).expiresAtMs).to.equal(3000 + FRESH_MS);
  });

  it('forbids starts at once if the data centre is taken out of service', () => {
    const permission = createPermission();
    permission.confirm('x', createPong({}));
    permission.judge(1001);
    permission.adoptConfiguration({
      revision: 6,
      dataCentresOut: ['a'],
      entries: ENTRIES,
    });
    const decision = permission.judge(1002);
    expect(decision.state).to.equal(DataCentreState.OUT);
    expect(decision.actions).to.deep.equal(['returnQueued']);
  });

  it('never returns to an older configuration', () => {
    const permission = createPermission({revision: 6, dataCentresOut: ['a']});
    const isAdopted = permission.adoptConfiguration({
      revision: 5,
      dataCentresOut: [],
      entries: ENTRIES,
    });
    expect(isAdopted).to.equal(false);
    permission.confirm('x', createPong({configurationRevision: 6}));
    expect(permission.judge(1001).state).to.equal(DataCentreState.OUT);
  });

  it('forbids starts if an entry has a newer revision', () => {
    const permission = createPermission();
    permission.confirm('x', createPong({}));
    permission.confirm('y', createPong({configurationRevision: 6}));
    expect(permission.judge(1001).state).to.equal(DataCentreState.UNKNOWN);
  });

  it('does not accept a stale entry as evidence of a newer revision', () => {
    const permission = createPermission({revision: 6});
    permission.confirm('x', createPong({configurationRevision: 5}));
    expect(permission.judge(1001).state).to.equal(DataCentreState.UNKNOWN);
  });

  it('allows starts in an outage while a majority of the entries answer', () => {
    const permission = createPermission();
    permission.confirm('x', createPong({...LOST, pingSentAtMs: 9000}));
    permission.confirm('y', createPong({...LOST, pingSentAtMs: 9100}));
    const {state, expiresAtMs} = permission.judge(9200);
    expect(state).to.equal(DataCentreState.IN);
    expect(expiresAtMs).to.equal(9000 + FRESH_MS);
  });

  it('forbids starts in a partition with a minority of the entries', () => {
    const permission = createPermission();
    permission.confirm('x', createPong({...LOST, pingSentAtMs: 9000}));
    expect(permission.judge(9001).state).to.equal(DataCentreState.UNKNOWN);
  });

  it('ignores answers of processes that are not registered entries', () => {
    const permission = createPermission();
    for (const entry of ['x', 'p', 'q']) {
      permission.confirm(entry, createPong({...LOST, pingSentAtMs: 9000}));
    }
    expect(permission.judge(9001).state).to.equal(DataCentreState.UNKNOWN);
  });
});
