/** The faults of a soak. */

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

/** A program of the deployment. */
export interface ProgramId {
  readonly role: Role;
  /** Number among the programs of its role, from 0. */
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
  /** A target ends without notice, and starts again. */
  CRASH = 'crash',
}

/** Directions of a link that a fault applies to. */
export enum FaultDirection {
  FROM_AGENT = 'from-agent',
  FROM_ENTRY = 'from-entry',
  BOTH = 'both',
}

interface FaultTime {
  /** Time since the start of the faults, in milliseconds. */
  readonly atMs: number;
  /** Time until the fault ends or the program starts again, in milliseconds. */
  readonly durationMs: number;
}

/** A fault of the links between some agents and some entries. */
export interface LinkFault extends FaultTime {
  readonly kind:
    | FaultKind.HOLD
    | FaultKind.LOSE
    | FaultKind.DELAY
    | FaultKind.RESET
    | FaultKind.RESETS
    | FaultKind.REFUSE;
  readonly agents: readonly number[];
  readonly entries: readonly number[];
  readonly direction: FaultDirection;
  /** Delay of the bytes, or time between two resets, in milliseconds. */
  readonly delayMs: number;
}

/** A fault of a program. */
export interface ProgramFault extends FaultTime {
  readonly kind: FaultKind.FREEZE | FaultKind.TERMINATE | FaultKind.KILL;
  readonly program: ProgramId;
}

/** A fault of a target. */
export interface TargetFault extends FaultTime {
  readonly kind: FaultKind.CRASH;
  readonly agent: number;
}

/** A fault of any kind. */
export type Fault = LinkFault | ProgramFault | TargetFault;

/** Describes a fault in one line. */
export function describeFault(fault: Fault): string {
  const {atMs, durationMs, kind} = fault;
  const time = `${Math.round(atMs)} ms, for ${Math.round(durationMs)} ms: ${kind}`;
  switch (kind) {
    case FaultKind.FREEZE:
    case FaultKind.TERMINATE:
    case FaultKind.KILL:
      return `${time} ${fault.program.role} ${fault.program.index + 1}`;
    case FaultKind.CRASH:
      return `${time} target ${fault.agent + 1}`;
    case FaultKind.HOLD:
    case FaultKind.LOSE:
    case FaultKind.DELAY:
    case FaultKind.RESET:
    case FaultKind.RESETS:
    case FaultKind.REFUSE: {
      const agents = fault.agents.map(agent => agent + 1).join(',');
      const entries = fault.entries.map(entry => entry + 1).join(',');
      const detail = `${fault.direction}, ${Math.round(fault.delayMs)} ms`;
      return `${time} (${detail}) agents ${agents}, entries ${entries}`;
    }
  }
}

/** Returns the number of the data centre of a program. */
export function locateProgram(index: number, {dataCentres}: SoakSize): number {
  return index % dataCentres;
}
