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

/** Time in milliseconds after which no ramp limits the agents of these tests. */
const RAMPED_MS = 10_000;

function createBoard(kind: PlacementKind, agents: number): AgentLoadTable {
  const board = AgentLoadTable.create({
    policy: createPlacementPolicy(kind),
    drawRandom: createRandom(SEED),
    dataCentre: 'here',
  });
  for (let index = 0; index < agents; index += 1) {
    board.addAgent(`a${index}`, 'here');
    board.applyReport(`a${index}`, REPORT, 0);
  }
  board.refreshAll(RAMPED_MS);
  return board;
}

function placeMany(board: AgentLoadTable, count: number): Map<string, number> {
  const placed = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const id = board.choose(board.describeRequest(300, 1e6, 0, 1));
    if (id === undefined) break;
    board.recordSent(id);
    placed.set(id, (placed.get(id) ?? 0) + 1);
  }
  return placed;
}

describe('AgentBoard', () => {
  it('fills every agent to its room and then holds tasks back', () => {
    const placed = placeMany(createBoard(PlacementKind.LEAST_LOADED, 10), 1000);
    expect([...placed.values()]).to.deep.equal(Array(10).fill(9));
  });

  it('spreads tasks evenly while slots are free', () => {
    const placed = placeMany(createBoard(PlacementKind.LEAST_LOADED, 10), 40);
    expect(Math.max(...placed.values())).to.be.at.most(5);
  });

  it('fills 1,000 agents by samples without passing over a free slot', () => {
    const board = createBoard(PlacementKind.LEAST_LOADED, 1000);
    const placed = placeMany(board, 8000);
    expect([...placed.values()]).to.deep.equal(Array(1000).fill(8));
  });

  it('leaves a target ten times slower idle until the backlog calls for it', () => {
    const board = createBoard(PlacementKind.LEAST_LOADED, 2);
    for (let index = 0; index < 50; index += 1) {
      const end = {isSuccess: true, expectedMs: 100};
      board.recordEnd('a0', {...end, runMs: 1000}, RAMPED_MS);
      board.recordEnd('a1', {...end, runMs: 100}, RAMPED_MS);
    }
    for (let index = 0; index < 9; index += 1) board.recordSent('a1');
    expect(board.choose(board.describeRequest(100, 1, 0, 1))).to.equal(
      undefined,
    );
    expect(board.choose(board.describeRequest(100, 1000, 0, 1))).to.equal('a0');
    expect(board.choose(board.describeRequest(100, 1, 5000, 1))).to.equal('a0');
  });

  it('stops sending to a target that fails everything, then probes it', () => {
    const board = createBoard(PlacementKind.LEAST_LOADED, 4);
    for (const id of ['a1', 'a2', 'a3']) {
      board.recordEnd(id, {isSuccess: true, runMs: 9, expectedMs: 9}, 10_000);
    }
    const failure = {isSuccess: false, runMs: 0, expectedMs: 9};
    for (let index = 0; index < 9; index += 1) {
      board.recordEnd('a0', failure, RAMPED_MS);
    }
    expect(placeMany(board, 1000).has('a0')).to.equal(false);
    board.refreshAll(RAMPED_MS + FIRST_PAUSE_MS);
    expect(placeMany(board, 1000)).to.deep.equal(new Map([['a0', 1]]));
  });

  it('blames no target for tasks that fail everywhere', () => {
    const board = createBoard(PlacementKind.LEAST_LOADED, 10);
    const failure = {isSuccess: false, runMs: 0, expectedMs: 9};
    for (let round = 0; round < 100; round += 1) {
      for (let index = 0; index < 10; index += 1) {
        board.recordEnd(`a${index}`, failure, RAMPED_MS);
      }
    }
    expect(placeMany(board, 1000).size).to.equal(10);
  });

  it('brings an agent that returns to its full share by degrees', () => {
    const board = createBoard(PlacementKind.LEAST_LOADED, 1);
    board.applyReport('a0', {...REPORT, isUsable: false}, RAMPED_MS);
    expect(placeMany(board, 10).size).to.equal(0);
    board.applyReport('a0', REPORT, RAMPED_MS);
    expect(placeMany(board, 10).get('a0')).to.equal(2);
    board.refreshAll(RAMPED_MS + 1000);
    expect(placeMany(board, 10).get('a0')).to.equal(3);
  });

  for (const kind of Object.values(PlacementKind)) {
    it(`never exceeds the room of an agent under ${kind}`, () => {
      const event = fc.record({
        agent: fc.integer({min: 0, max: 4}),
        what: fc.constantFrom('place', 'end', 'fail', 'return', 'pause', 'add'),
      });
      const property = fc.property(
        fc.array(event, {maxLength: 300}),
        events => {
          const board = createBoard(kind, 5);
          for (const {agent, what} of events) {
            applyEvent(board, `a${agent}`, what);
          }
        },
      );
      fc.assert(property, {seed: SEED, numRuns: 100});
    });
  }
});

function applyEvent(board: AgentLoadTable, id: string, what: string): void {
  if (what === 'pause') board.pauseAgent(id);
  if (what === 'add') {
    board.addAgent(id, 'here');
    board.applyReport(id, REPORT, 0);
    board.refreshAll(RAMPED_MS);
  }
  if (what === 'return') board.recordReturned(id);
  if (what === 'end' || what === 'fail') {
    const isSuccess = what === 'end';
    board.recordEnd(id, {isSuccess, runMs: 5, expectedMs: 5}, RAMPED_MS);
  }
  if (what !== 'place') return;
  const chosen = board.choose(board.describeRequest(100, 1e6, 0, 1));
  if (chosen === undefined) return;
  board.recordSent(chosen);
  const agent = board.getAgent(chosen)!;
  expect(agent.outstanding).to.be.at.most(agent.slots + agent.queueLimit);
  expect(agent.outstanding).to.be.at.most(agent.concurrencyLimit);
}
