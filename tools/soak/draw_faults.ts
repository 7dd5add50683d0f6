/** Draws the faults of a soak. */
import type {DrawRandom} from '../../src/lib/core/clock.js';
import {FaultDirection, FaultKind, locateProgram, Role} from './fault.js';
import type {Fault, LinkFault, ProgramId, SoakSize} from './fault.js';

/** Part of a deployment that an incident concerns. */
enum Scope {
  AGENT,
  FEW_AGENTS,
  ENTRY,
  DATA_CENTRE,
  ALL,
}

interface Place {
  readonly agents: readonly number[];
  readonly entries: readonly number[];
  readonly programs: readonly ProgramId[];
}

/** Kinds with their weights. */
const KINDS: ReadonlyArray<readonly [FaultKind, number]> = [
  [FaultKind.HOLD, 4],
  [FaultKind.LOSE, 5],
  [FaultKind.RESETS, 5],
  [FaultKind.RESET, 3],
  [FaultKind.DELAY, 3],
  [FaultKind.REFUSE, 2],
  [FaultKind.FREEZE, 4],
  [FaultKind.KILL, 3],
  [FaultKind.TERMINATE, 2],
  [FaultKind.CRASH, 1],
];

const SCOPES: ReadonlyArray<readonly [Scope, number]> = [
  [Scope.AGENT, 5],
  [Scope.FEW_AGENTS, 4],
  [Scope.ENTRY, 3],
  [Scope.DATA_CENTRE, 2],
  [Scope.ALL, 1],
];

const DIRECTIONS: ReadonlyArray<readonly [FaultDirection, number]> = [
  [FaultDirection.FROM_AGENT, 3],
  [FaultDirection.FROM_ENTRY, 2],
  [FaultDirection.BOTH, 1],
];

/** Mean time in milliseconds between two incidents of a small deployment. */
const INCIDENT_PERIOD_MS = 1400;

/** Agents for which one incident at a time suffices. */
const AGENTS_PER_INCIDENT = 16;

const MAX_FAULTS = 3;
const MAX_OFFSET_MS = 900;
/** Share of the silent links that are also reset again and again. */
const RESETS_WHILE_SILENT = 0.5;

const DURATION_MS = {least: 300, most: 5000};
const RESTART_MS = {least: 100, most: 1500};
const DELAY_MS = {least: 20, most: 700};
const RESET_PERIOD_MS = {least: 80, most: 500};

/** Draws faults for `durationMs`, in the order in which they begin. */
export function drawFaults(
  size: SoakSize,
  durationMs: number,
  drawRandom: DrawRandom,
): readonly Fault[] {
  const faults: Fault[] = [];
  const factor = Math.max(1, size.agents / AGENTS_PER_INCIDENT);
  const periodMs = INCIDENT_PERIOD_MS / factor;
  let atMs = 0;
  while (atMs < durationMs) {
    const place = drawPlace(size, drawRandom);
    const count = 1 + Math.floor(drawRandom() * MAX_FAULTS);
    for (let fault = 0; fault < count; fault += 1) {
      const offsetMs = fault === 0 ? 0 : drawRandom() * MAX_OFFSET_MS;
      const drawn = drawFault(atMs + offsetMs, place, drawRandom);
      faults.push(drawn);
      const isSilent =
        drawn.kind === FaultKind.HOLD || drawn.kind === FaultKind.LOSE;
      if (!isSilent || drawRandom() > RESETS_WHILE_SILENT) continue;
      const delayMs = drawBetween(RESET_PERIOD_MS, drawRandom);
      faults.push({...drawn, kind: FaultKind.RESETS, delayMs});
    }
    atMs += periodMs * 2 * drawRandom();
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

function drawFault(atMs: number, place: Place, drawRandom: DrawRandom): Fault {
  const kind = drawWeighted(KINDS, drawRandom);
  const durationMs = drawBetween(DURATION_MS, drawRandom);
  switch (kind) {
    case FaultKind.FREEZE:
      return {kind, atMs, durationMs, program: pickProgram(place, drawRandom)};
    case FaultKind.TERMINATE:
    case FaultKind.KILL: {
      const restartMs = drawBetween(RESTART_MS, drawRandom);
      const program = pickProgram(place, drawRandom);
      return {kind, atMs, durationMs: restartMs, program};
    }
    case FaultKind.CRASH: {
      const agent = pickItem(place.agents, drawRandom);
      return {kind, atMs, durationMs: 0, agent};
    }
    case FaultKind.HOLD:
    case FaultKind.LOSE:
    case FaultKind.DELAY:
    case FaultKind.RESET:
    case FaultKind.RESETS:
    case FaultKind.REFUSE: {
      const isRepeated = kind === FaultKind.RESETS;
      const range = isRepeated ? RESET_PERIOD_MS : DELAY_MS;
      const fault: LinkFault = {
        kind,
        atMs,
        durationMs: kind === FaultKind.RESET ? 0 : durationMs,
        agents: place.agents,
        entries: place.entries,
        direction: drawWeighted(DIRECTIONS, drawRandom),
        delayMs: drawBetween(range, drawRandom),
      };
      return fault;
    }
  }
}

function drawPlace(size: SoakSize, drawRandom: DrawRandom): Place {
  const agents = Array.from({length: size.agents}, (_, index) => index);
  const entries = Array.from({length: size.entries}, (_, index) => index);
  const agent = pickItem(agents, drawRandom);
  const entry = pickItem(entries, drawRandom);
  const share = drawRandom() / 2;
  switch (drawWeighted(SCOPES, drawRandom)) {
    case Scope.AGENT:
      return createPlace([agent], entries, [agent], [entry]);
    case Scope.FEW_AGENTS: {
      const few = agents.filter(() => drawRandom() < share);
      const chosen = few.length > 0 ? few : [agent];
      return createPlace(chosen, entries, chosen, [entry]);
    }
    case Scope.ENTRY:
      return createPlace(agents, [entry], [], [entry]);
    case Scope.DATA_CENTRE: {
      const place = locateProgram(agent, size);
      const isThere = (index: number) => locateProgram(index, size) === place;
      const inside = agents.filter(isThere);
      return createPlace(inside, entries, inside, entries.filter(isThere));
    }
    case Scope.ALL:
      return createPlace(agents, entries, agents, entries);
  }
}

function createPlace(
  agents: readonly number[],
  entries: readonly number[],
  agentPrograms: readonly number[],
  entryPrograms: readonly number[],
): Place {
  const programs = [
    ...agentPrograms.map(index => ({role: Role.AGENT, index})),
    ...entryPrograms.map(index => ({role: Role.ENTRY, index})),
  ];
  return {agents, entries, programs};
}

/** Picks an entry as often as an agent where the place has both. */
function pickProgram({programs}: Place, drawRandom: DrawRandom): ProgramId {
  const isEntry = drawRandom() < 0.5;
  const role = isEntry ? Role.ENTRY : Role.AGENT;
  const found = programs.filter(program => program.role === role);
  return pickItem(found.length > 0 ? found : programs, drawRandom);
}

function pickItem<T>(items: readonly T[], drawRandom: DrawRandom): T {
  return items[Math.floor(drawRandom() * items.length)];
}

function drawWeighted<T>(
  rows: ReadonlyArray<readonly [T, number]>,
  drawRandom: DrawRandom,
): T {
  let rest = drawRandom() * rows.reduce((sum, [, weight]) => sum + weight, 0);
  for (const [item, weight] of rows) {
    rest -= weight;
    if (rest < 0) return item;
  }
  return rows[0][0];
}

/** Draws a time whose logarithm is uniform. */
function drawBetween(
  {least, most}: {readonly least: number; readonly most: number},
  drawRandom: DrawRandom,
): number {
  return least * (most / least) ** drawRandom();
}
