import {expect} from 'chai';
import type {
  FleetDefinition,
  ScenarioDefinition,
} from '../../tools/scenario/definition.js';
import {planFleet} from '../../tools/scenario/fleet_plan.js';
import {createPortFinder} from '../../tools/scenario/free_ports.js';
import {parseScenario} from '../../tools/scenario/read_scenario.js';

function readFleet(fleet: string): FleetDefinition {
  const text = `title: t\nproves: P1\nwithout: w\nexpect: []\nsteps: [{kill: a}]\nfleet: ${fleet}\n`;
  return (parseScenario(text, 'test') as ScenarioDefinition).fleet;
}

function planByName(fleet: string) {
  const ports = Array.from({length: 100}, (_, index) => 20_000 + index);
  const plans = planFleet(readFleet(fleet), createPortFinder(ports));
  return new Map(plans.map(plan => [plan.name, plan]));
}

describe('planFleet', () => {
  it('distributes entries, agents and targets over the data centres', () => {
    const plans = planByName('{dataCentres: [a, b], entries: 2, agents: 3}');
    expect(plans.get('entry-2')?.dataCentre).to.equal('b');
    expect(plans.get('agent-3')?.dataCentre).to.equal('a');
    expect(plans.get('target-3')?.dataCentre).to.equal('a');
  });

  it('connects agents and peers through the relay in front of an entry', () => {
    const relays = '[{name: r, place: peers, process: entry-1}]';
    const plans = planByName(`{entries: 1, agents: 1, relays: ${relays}}`);
    const relay = plans.get('r')!.programArguments;
    const port = relay[relay.indexOf('--listen') + 1];
    const address = `127.0.0.1:${port}`;
    expect(plans.get('agent-1')?.settings).to.deep.include({
      entries: [address],
    });
    expect(plans.get('entry-1')?.settings).to.deep.include({
      advertise: {peers: address},
    });
  });

  it('starts the store and the relays before their clients', () => {
    const relays = '[{name: r, place: store, process: entry-1}]';
    const names = [...planByName(`{relays: ${relays}}`).keys()];
    expect(names.slice(0, 3)).to.deep.equal(['store', 'r', 'entry-1']);
  });

  it('merges the settings of a scenario over the defaults', () => {
    const plans = planByName('{entrySettings: {store: {leaseMs: 2000}}}');
    const {store} = plans.get('entry-1')!.settings as {
      store: {leaseMs: number; prefix: string};
    };
    expect(store.leaseMs).to.equal(2000);
    expect(store.prefix).to.equal('/foxtailbay/');
  });
});
