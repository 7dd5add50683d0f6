/** The faults of a soak. */
import {ControlScope} from '../../stand_ins/relay_control.js';
import type {RelayRules} from '../../stand_ins/relay_connection.js';

/** Sizes of the deployment that a soak runs. */
export interface SoakSize {
  readonly entries: number;
  readonly agents: number;
  readonly dataCentres: number;
}

/** Role of a program in the deploy file. */
export enum Role {
  ENTRY = 'entry',
  AGENT = 'agent',
}

/** A program: its role, and its number among those of its role, from 0. */
export interface ProgramId {
  readonly role: Role;
  readonly index: number;
}

/** Kinds of fault. */
export enum FaultKind {
  /** Bytes wait until the end of the fault; connections stay open. */
  HOLD = 'hold',
  /** Bytes are lost; connections stay open and are reset at the end of the fault. */
  LOSE = 'lose',
  /** Bytes arrive later. */
  DELAY = 'delay',
  /** Connections are reset once. */
  RESET = 'reset',
  /** Connections are reset again and again. */
  RESETS = 'resets',
  /** Connections are reset, and new ones are refused. */
  REFUSE = 'refuse',
  /** A program is stopped and continued. */
  FREEZE = 'freeze',
  /** A program is asked to end, and started again. */
  TERMINATE = 'terminate',
  /** A program is killed, and started again. */
  KILL = 'kill',
  /** The targets of the agents end without notice, and start again. */
  CRASH = 'crash',
}

/** A fault; which fields apply depends on its kind. */
export interface Fault {
  readonly kind: FaultKind;
  /** Time since the start of the faults, in milliseconds. */
  readonly atMs: number;
  /** Time until the fault ends or the program starts again, in milliseconds. */
  readonly durationMs: number;
  /** The links between these agents and entries are concerned. */
  readonly agents: readonly number[];
  readonly entries: readonly number[];
  /** Direction of the bytes; forward is from the agents. */
  readonly scope: ControlScope;
  /** Delay of the bytes, or time between two resets, in milliseconds. */
  readonly delayMs: number;
  readonly program: ProgramId;
}

const PROGRAM_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.FREEZE,
  FaultKind.TERMINATE,
  FaultKind.KILL,
]);

/** Describes a fault in one line. */
export function describeFault(fault: Fault): string {
  const {atMs, durationMs, kind, program, scope, delayMs} = fault;
  const time = `${Math.round(atMs)} ms, for ${Math.round(durationMs)} ms: ${kind}`;
  if (PROGRAM_KINDS.has(kind)) return `${time} ${nameProgram(program)}`;
  const agents = fault.agents.map(agent => agent + 1).join(',');
  if (kind === FaultKind.CRASH) return `${time} targets ${agents}`;
  const entries = fault.entries.map(entry => entry + 1).join(',');
  const detail = `${scope}, ${Math.round(delayMs)} ms`;
  return `${time} (${detail}) agents ${agents}, entries ${entries}`;
}

/** Returns the name of a program, as its settings and logs have it. */
export function nameProgram({role, index}: ProgramId): string {
  return `${role}-${index + 1}`;
}

/** Returns the number of the data centre of a program. */
export function locateProgram(index: number, {dataCentres}: SoakSize): number {
  return index % dataCentres;
}

/** Composes the rules of a link from the faults that apply to it at a time. */
export function composeRules(faults: readonly Fault[]): RelayRules {
  const composeRule = (direction: ControlScope) => {
    const applied = faults.filter(({scope}) =>
      [direction, ControlScope.BOTH].includes(scope),
    );
    const delays = applied
      .filter(({kind}) => kind === FaultKind.DELAY)
      .map(({delayMs}) => delayMs);
    return {
      isHeld: applied.some(({kind}) => kind === FaultKind.HOLD),
      isLossy: applied.some(({kind}) => kind === FaultKind.LOSE),
      delayMs: Math.max(0, ...delays),
    };
  };
  return {
    forward: composeRule(ControlScope.FORWARD),
    backward: composeRule(ControlScope.BACKWARD),
  };
}
