/** Messages between an entry and an agent, without their encoding. */
import type {FleetConfiguration} from './fleet_configuration.js';
import type {Resources} from './work_job.js';

/** Condition of the target beside an agent. */
export enum TargetPhase {
  /** Not heard of, or silent. */
  ABSENT = 'absent',
  READY = 'ready',
  /** About to leave: it gets no new run. */
  DRAINING = 'draining',
}

/** How a run ended. */
export enum RunEnd {
  DONE = 'done',
  /** The task or its target failed. */
  FAILED = 'failed',
  /** Stopped on request. */
  STOPPED = 'stopped',
  /** Gone with its target's life or its lease; proven not to run any more. */
  LOST = 'lost',
  /** Never began and never will. */
  NOT_STARTED = 'not-started',
}

/** Why a run was not started. */
export enum RunEndCause {
  NONE = 'none',
  NO_CAPACITY = 'no-room',
  TARGET_UNAVAILABLE = 'target-away',
  DATA_CENTRE_OUT = 'data-centre-out',
  /** The target refused the order or gave no answer to it. */
  TARGET_REFUSED = 'target-refused',
  /** The run made no progress and was stopped. */
  HUNG = 'hung',
  /** The owner has not been heard of for too long. */
  OWNER_UNREACHABLE = 'owner-silent',
  STOPPING = 'stopping',
  /** The owner asked for the stop. */
  STOP_REQUESTED = 'on-request',
}

/** Tells whether the target, not the task or a decision of ours, is to blame. */
export function isTargetFault(cause: RunEndCause): boolean {
  return cause === RunEndCause.HUNG || cause === RunEndCause.TARGET_REFUSED;
}

/** Identifies one run of a task. */
export interface RunId {
  readonly task: string;
  /** Counts the starts of the task from 1. */
  readonly run: number;
}

/** An order to run a task. */
export interface RunOrder extends RunId {
  readonly job: string;
  /** The caller's id of the request, for logs. */
  readonly request: string;
  readonly service: string;
  readonly payload: string;
  readonly need: Resources;
  readonly estimateMs: number;
  /** Time in milliseconds until the run should begin; may be negative. */
  readonly slackMs: number;
  /** How long the run may wait for room at the agent, in milliseconds. */
  readonly patienceMs: number;
  /** Rises with each order from this entry to this agent. */
  readonly sequence: number;
}

/** A run that an agent holds for an entry. */
export interface HeldRunReport extends RunId {
  readonly job: string;
}

/** The end of a run. */
export interface RunEndReport extends RunId {
  readonly job: string;
  readonly end: RunEnd;
  readonly cause: RunEndCause;
  /** Time between the start and the end as the agent saw it, in milliseconds. */
  readonly durationMs: number;
}

/** What a target has and does. */
export interface TargetReport {
  /** Highest sequence of the receiving entry's orders that this reflects. */
  readonly through: number;
  readonly phase: TargetPhase;
  readonly service: string;
  /** One life of the target. */
  readonly life: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly free: Resources;
  /** Orders that wait for room. */
  readonly waiting: number;
  /** Run time here over the estimate, averaged; 1 before anything ended. */
  readonly slowness: number;
  /** Whether runs here have recently failed or hung. */
  readonly isSuspect: boolean;
}

/** Kinds of message from an entry to an agent. */
export enum EntryFrameKind {
  HELLO = 'hello',
  PONG = 'pong',
  ORDER = 'order',
  STOP = 'stop',
  ACKNOWLEDGE = 'acknowledge',
  CONFIGURATION = 'configuration',
}

/** A message from an entry to an agent. */
export type EntryFrame =
  | {
      readonly kind: EntryFrameKind.HELLO;
      readonly life: string;
      readonly address: string;
      readonly dataCentre: string;
    }
  | {
      readonly kind: EntryFrameKind.PONG;
      /** The agent's own time from the ping. */
      readonly sentAtMs: number;
      /** Addresses of all entries known, this one included. */
      readonly entries: readonly string[];
      /** Processor time that waits at this entry, in thousandths of core-seconds. */
      readonly backlog: number;
    }
  | {readonly kind: EntryFrameKind.ORDER; readonly order: RunOrder}
  | ({readonly kind: EntryFrameKind.STOP} & RunId)
  | ({readonly kind: EntryFrameKind.ACKNOWLEDGE} & RunId)
  | {
      readonly kind: EntryFrameKind.CONFIGURATION;
      readonly configuration: FleetConfiguration;
    };

/** Kinds of message from an agent to an entry. */
export enum AgentFrameKind {
  HELLO = 'hello',
  PING = 'ping',
  REPORT = 'report',
  END = 'end',
  CONFIGURATION = 'configuration',
}

/** Work that waits at the other entries, as the agent heard it. */
export interface PeerBacklog {
  readonly entry: string;
  readonly backlog: number;
}

/** A message from an agent to an entry. */
export type AgentFrame =
  | {
      readonly kind: AgentFrameKind.HELLO;
      readonly agent: string;
      readonly life: string;
      readonly dataCentre: string;
      /** Runs held for the receiving entry's life. */
      readonly held: readonly HeldRunReport[];
      /** Ends that the receiving entry's life has not acknowledged. */
      readonly ends: readonly RunEndReport[];
      /** Highest sequence taken from the receiving entry's life. */
      readonly through: number;
    }
  | {
      readonly kind: AgentFrameKind.PING;
      readonly sentAtMs: number;
      readonly backlogs: readonly PeerBacklog[];
    }
  | {readonly kind: AgentFrameKind.REPORT; readonly report: TargetReport}
  | {readonly kind: AgentFrameKind.END; readonly report: RunEndReport}
  | {
      readonly kind: AgentFrameKind.CONFIGURATION;
      readonly configuration: FleetConfiguration;
    };
