/** Draws the faults of a soak. */
import type {DrawRandom} from '../../src/lib/core/clock.js';
import {ControlScope} from '../../stand_ins/relay_control.js';
import {FaultKind, locateProgram, Role} from './fault.js';
import type {Fault, ProgramId, SoakSize} from './fault.js';

/** Part of a deployment that an incident concerns. */
enum Part {
  AGENT,
  FEW_AGENTS,
  ENTRY,
  DATA_CENTRE,
  ALL,
}

/** Links and programs that the faults of an incident concern. */
interface Place {
  readonly agents: readonly number[];
  readonly entries: readonly number[];
  readonly programs: readonly ProgramId[];
}

type Weights<T> = ReadonlyArray<readonly [item: T, weight: number]>;

interface Range {
  readonly least: number;
  readonly most: number;
}

const KINDS: Weights<FaultKind> = [
  [FaultKind.HOLD, 4],
  [FaultKind.LOSE, 5],
  [FaultKind.RESETS, 4],
  [FaultKind.RESET, 3],
  [FaultKind.DELAY, 3],
  [FaultKind.REFUSE, 2],
  [FaultKind.FREEZE, 4],
  [FaultKind.KILL, 3],
  [FaultKind.TERMINATE, 2],
  [FaultKind.CRASH, 1],
];

const PARTS: Weights<Part> = [
  [Part.AGENT, 5],
  [Part.FEW_AGENTS, 4],
  [Part.ENTRY, 3],
  [Part.DATA_CENTRE, 2],
  [Part.ALL, 1],
];

const SCOPES: Weights<ControlScope> = [
  [ControlScope.FORWARD, 4],
  [ControlScope.BACKWARD, 2],
  [ControlScope.BOTH, 1],
];

/** Mean time in milliseconds between two incidents of a small deployment. */
const INCIDENT_PERIOD_MS = 1400;

/** Agents for which one incident at a time suffices. */
const AGENTS_PER_INCIDENT = 16;

const MAX_FAULTS = 3;
const MAX_OFFSET_MS = 900;

/** Share of the silent links that are also reset again and again. */
const RESETS_WHILE_SILENT = 0.5;

const DURATION_MS = {least: 500, most: 5000};
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
  const share = Math.min(1, Math.sqrt(AGENTS_PER_INCIDENT / size.agents));
  let atMs = 0;
  while (atMs < durationMs) {
    const place = drawPlace(size, drawRandom);
    const count = 1 + Math.floor(drawRandom() * MAX_FAULTS);
    for (let drawn = 0; drawn < count; drawn += 1) {
      const offsetMs = drawn === 0 ? 0 : drawRandom() * MAX_OFFSET_MS;
      faults.push(...drawFault(atMs + offsetMs, place, drawRandom));
    }
    atMs += INCIDENT_PERIOD_MS * share * 2 * drawRandom();
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Draws a fault, or two of which the second resets the silent links of the first. */
function drawFault(
  atMs: number,
  place: Place,
  drawRandom: DrawRandom,
): Fault[] {
  const kind = drawWeighted(KINDS, drawRandom);
  const isRestart = kind === FaultKind.TERMINATE || kind === FaultKind.KILL;
  const isSilent = kind === FaultKind.HOLD || kind === FaultKind.LOSE;
  const {agents, entries} = place;
  const periodMs = drawBetween(RESET_PERIOD_MS, drawRandom);
  const fault: Fault = {
    kind,
    atMs,
    durationMs: drawBetween(isRestart ? RESTART_MS : DURATION_MS, drawRandom),
    agents: kind === FaultKind.CRASH ? [pickItem(agents, drawRandom)] : agents,
    entries,
    scope: drawWeighted(SCOPES, drawRandom),
    delayMs:
      kind === FaultKind.RESETS ? periodMs : drawBetween(DELAY_MS, drawRandom),
    program: pickProgram(place, drawRandom),
  };
  const isReset = isSilent && drawRandom() < RESETS_WHILE_SILENT;
  const resets = {...fault, kind: FaultKind.RESETS, delayMs: periodMs};
  return isReset ? [fault, resets] : [fault];
}

function drawPlace(size: SoakSize, drawRandom: DrawRandom): Place {
  const agents = Array.from({length: size.agents}, (_, index) => index);
  const entries = Array.from({length: size.entries}, (_, index) => index);
  const agent = pickItem(agents, drawRandom);
  const entry = pickItem(entries, drawRandom);
  const share = drawRandom() / 2;
  const few = agents.filter(index => index === agent || drawRandom() < share);
  const isNear = (index: number) =>
    locateProgram(index, size) === locateProgram(agent, size);
  const near = agents.filter(isNear);
  switch (drawWeighted(PARTS, drawRandom)) {
    case Part.AGENT:
      return createPlace([agent], entries, [agent], [entry]);
    case Part.FEW_AGENTS:
      return createPlace(few, entries, few, [entry]);
    case Part.ENTRY:
      return createPlace(agents, [entry], [], [entry]);
    case Part.DATA_CENTRE:
      return createPlace(near, entries, near, entries.filter(isNear));
    case Part.ALL:
      return createPlace(agents, entries, agents, entries);
  }
}

function createPlace(
  agents: readonly number[],
  entries: readonly number[],
  ownAgents: readonly number[],
  ownEntries: readonly number[],
): Place {
  const programs = [
    ...ownAgents.map(index => ({role: Role.AGENT, index})),
    ...ownEntries.map(index => ({role: Role.ENTRY, index})),
  ];
  return {agents, entries, programs};
}

/** Picks an entry as often as an agent where the place has both. */
function pickProgram({programs}: Place, drawRandom: DrawRandom): ProgramId {
  const role = drawRandom() < 0.5 ? Role.ENTRY : Role.AGENT;
  const found = programs.filter(program => program.role === role);
  return pickItem(found.length > 0 ? found : programs, drawRandom);
}

function pickItem<T>(items: readonly T[], drawRandom: DrawRandom): T {
  return items[Math.floor(drawRandom() * items.length)];
}

function drawWeighted<T>(rows: Weights<T>, drawRandom: DrawRandom): T {
  let rest = drawRandom() * rows.reduce((sum, [, weight]) => sum + weight, 0);
  const found = rows.find(([, weight]) => (rest -= weight) < 0);
  return (found ?? rows[0])[0];
}

/** Draws a time whose logarithm is uniform. */
function drawBetween({least, most}: Range, drawRandom: DrawRandom): number {
  return least * (most / least) ** drawRandom();
}
