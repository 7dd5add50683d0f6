import {expect} from 'chai';
import type {FleetConfiguration} from '../../src/lib/core/fleet_configuration.js';
import {AgentFrameKind} from '../../src/lib/core/work_frames.js';
import {BODY_TIMEOUT_MS} from '../../src/lib/decisions/configuration_requests.js';
import {ConfigurationRelay} from '../../src/lib/work/agent/configuration_relay.js';
import {EntryRegistry} from '../../src/lib/work/agent/entry_registry.js';

const CONFIGURATION = {
  revision: 8,
  dataCentresOut: [],
} as unknown as FleetConfiguration;

// An entry that cannot read the store takes a configuration through an agent, one
// copy of it; the others have read it themselves.
describe('The relay of a configuration', () => {
  let registry: EntryRegistry;
  let relay: ConfigurationRelay;
  let sent: string[];

  beforeEach(() => {
    registry = EntryRegistry.create();
    sent = [];
    relay = ConfigurationRelay.create({
      listEntries: () => registry.listEntries(),
      send: ({incarnation}, {kind}) => sent.push(`${kind} to ${incarnation}`),
    });
    for (const [linkId, incarnation] of ['a', 'b', 'c', 'd'].entries()) {
      registry.openLink(incarnation, linkId, 0).revision = 8;
    }
    registry.find('a')!.revision = 7;
  });

  function request(nowMs = 0): void {
    relay.request(registry.find('a')!, 8, nowMs);
  }

  it('requests the body from one entry that has it, for the one that lacks it', () => {
    request();
    expect(sent).to.deep.equal([
      `${AgentFrameKind.CONFIGURATION_REQUEST} to b`,
    ]);
    sent.length = 0;
    relay.deliver(CONFIGURATION);
    expect(sent).to.deep.equal([`${AgentFrameKind.CONFIGURATION} to a`]);
  });

  it('sends no second copy to an entry that has received one', () => {
    request();
    relay.deliver(CONFIGURATION);
    sent.length = 0;
    relay.deliver(CONFIGURATION);
    expect(sent).to.deep.equal([]);
  });

  it('requests the body from another entry if the first does not answer', () => {
    request();
    relay.advance(BODY_TIMEOUT_MS / 2);
    expect(sent).to.have.length(1);
    relay.advance(BODY_TIMEOUT_MS);
    expect(sent).to.have.length(2);
    expect(new Set(sent).size).to.equal(2);
  });

  it('drops the request of an entry whose link has closed', () => {
    request();
    registry.closeLink('a', 0);
    relay.advance(BODY_TIMEOUT_MS);
    expect(sent).to.have.length(1);
  });

  it('keeps the summary with the highest revision', () => {
    expect(
      relay.applySummary({revision: 8, dataCentresOut: ['zone-b']}),
    ).to.equal(true);
    expect(relay.applySummary({revision: 7, dataCentresOut: []})).to.equal(
      false,
    );
    expect(relay.summary.dataCentresOut).to.deep.equal(['zone-b']);
  });
});
