import {expect} from 'chai';
import fc from 'fast-check';
import {AgentLoadTable} from '../../src/lib/decisions/agent_load_table.js';
import type {AgentReport} from '../../src/lib/decisions/agent_load_table.js';
import {
  createPlacementPolicy,
  PlacementKind,
} from '../../src/lib/decisions/choose_agent.js';
import {FIRST_PAUSE_MS} from '../../src/lib/decisions/quarantine.js';
import {createRandom, SEED} from './seeded_random.js';

const REPORT: AgentReport = {
  isUsable: true,
  targetInstance: 'one',
  slots: 8,
  queueLimit: 4,
  running: 0,
  queued: 0,
  unreported: 0,
};

/** Time in milliseconds after which no ramp limits the agents. */
const RAMPED_MS = 10_000;

function createTable(kind: PlacementKind, agents: number): AgentLoadTable {
  const table = AgentLoadTable.create({
    policy: createPlacementPolicy(kind),
    drawRandom: createRandom(SEED),
    dataCentre: 'here',
  });
  for (let index = 0; index < agents; index += 1) {
    table.addAgent(`a${index}`, 'here');
    table.applyReport(`a${index}`, REPORT, 0);
  }
  table.refreshAll(RAMPED_MS);
  return table;
}

function placeMany(table: AgentLoadTable, count: number): Map<string, number> {
  const placed = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const id = table.choose(table.describeRequest(300, 1e6, 0, 1));
    if (id === undefined) break;
    table.recordSent(id);
    placed.set(id, (placed.get(id) ?? 0) + 1);
  }
  return placed;
}

describe('AgentLoadTable', () => {
  it('fills every agent to its capacity and then lets tasks wait', () => {
    const placed = placeMany(createTable(PlacementKind.LEAST_LOADED, 10), 1000);
    expect([...placed.values()]).to.deep.equal(Array(10).fill(9));
  });

  it('spreads tasks evenly while slots are free', () => {
    const placed = placeMany(createTable(PlacementKind.LEAST_LOADED, 10), 40);
    expect(Math.max(...placed.values())).to.be.at.most(5);
  });

  it('fills 1,000 agents by sampling without missing a free slot', () => {
    const table = createTable(PlacementKind.LEAST_LOADED, 1000);
    const placed = placeMany(table, 8000);
    expect([...placed.values()]).to.deep.equal(Array(1000).fill(8));
  });

  it('leaves a target ten times slower idle until the backlog requires it', () => {
    const table = createTable(PlacementKind.LEAST_LOADED, 2);
    for (let index = 0; index < 50; index += 1) {
      const end = {isSuccess: true, expectedMs: 100};
      table.recordEnd('a0', {...end, runMs: 1000}, RAMPED_MS);
      table.recordEnd('a1', {...end, runMs: 100}, RAMPED_MS);
    }
    for (let index = 0; index < 9; index += 1) table.recordSent('a1');
    expect(table.choose(table.describeRequest(100, 1, 0, 1))).to.equal(
      undefined,
    );
    expect(table.choose(table.describeRequest(100, 1000, 0, 1))).to.equal('a0');
    expect(table.choose(table.describeRequest(100, 1, 5000, 1))).to.equal('a0');
  });

  it('stops sending to a target that fails every task, then probes it', () => {
    const table = createTable(PlacementKind.LEAST_LOADED, 4);
    for (const id of ['a1', 'a2', 'a3']) {
      table.recordEnd(id, {isSuccess: true, runMs: 9, expectedMs: 9}, 10_000);
    }
    const failure = {isSuccess: false, runMs: 0, expectedMs: 9};
    for (let index = 0; index < 9; index += 1) {
      table.recordEnd('a0', failure, RAMPED_MS);
    }
    expect(placeMany(table, 1000).has('a0')).to.equal(false);
    table.refreshAll(RAMPED_MS + FIRST_PAUSE_MS);
    expect(placeMany(table, 1000)).to.deep.equal(new Map([['a0', 1]]));
  });

  it('quarantines no target for tasks that fail everywhere', () => {
    const table = createTable(PlacementKind.LEAST_LOADED, 10);
    const failure = {isSuccess: false, runMs: 0, expectedMs: 9};
    for (let round = 0; round < 100; round += 1) {
      for (let index = 0; index < 10; index += 1) {
        table.recordEnd(`a${index}`, failure, RAMPED_MS);
      }
    }
    expect(placeMany(table, 1000).size).to.equal(10);
  });

  it('ramps a returning agent up to its full share', () => {
    const table = createTable(PlacementKind.LEAST_LOADED, 1);
    table.applyReport('a0', {...REPORT, isUsable: false}, RAMPED_MS);
    expect(placeMany(table, 10).size).to.equal(0);
    table.applyReport('a0', REPORT, RAMPED_MS);
    expect(placeMany(table, 10).get('a0')).to.equal(2);
    table.refreshAll(RAMPED_MS + 1000);
    expect(placeMany(table, 10).get('a0')).to.equal(3);
  });

  for (const kind of Object.values(PlacementKind)) {
    it(`never exceeds the capacity of an agent under ${kind}`, () => {
      const event = fc.record({
        agent: fc.integer({min: 0, max: 4}),
        what: fc.constantFrom('place', 'end', 'fail', 'return', 'pause', 'add'),
      });
      const property = fc.property(
        fc.array(event, {maxLength: 300}),
        events => {
          const table = createTable(kind, 5);
          for (const {agent, what} of events) {
            applyEvent(table, `a${agent}`, what);
          }
        },
      );
      fc.assert(property, {seed: SEED, numRuns: 100});
    });
  }
});

function applyEvent(table: AgentLoadTable, id: string, what: string): void {
  if (what === 'pause') table.pauseAgent(id);
  if (what === 'add') {
    table.addAgent(id, 'here');
    table.applyReport(id, REPORT, 0);
    table.refreshAll(RAMPED_MS);
  }
  if (what === 'return') table.recordReturned(id);
  if (what === 'end' || what === 'fail') {
    const isSuccess = what === 'end';
    table.recordEnd(id, {isSuccess, runMs: 5, expectedMs: 5}, RAMPED_MS);
  }
  if (what !== 'place') return;
  const chosen = table.choose(table.describeRequest(100, 1e6, 0, 1));
  if (chosen === undefined) return;
  table.recordSent(chosen);
  const agent = table.getAgent(chosen)!;
  expect(agent.outstanding).to.be.at.most(agent.slots + agent.queueLimit);
  expect(agent.outstanding).to.be.at.most(agent.concurrencyLimit);
}
