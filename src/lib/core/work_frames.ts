/** Messages between an entry and an agent, independent of their encoding. */
import type {FleetConfiguration} from './fleet_configuration.js';
import type {CrashSuspicion, TargetCrash} from './target_crash.js';
import type {Resources} from './work_job.js';

/** State of the target that an agent runs tasks on. */
export enum TargetPhase {
  /** No heartbeat received, or the heartbeats have stopped. */
  ABSENT = 'absent',
  READY = 'ready',
  /** Shutting down: it gets no new run. */
  DRAINING = 'draining',
}

/** How a run ended. */
export enum RunEnd {
  DONE = 'done',
  /** The task or its target failed. */
  FAILED = 'failed',
  /** Stopped on request. */
  STOPPED = 'stopped',
  /** Ended with its target's incarnation or its lease; proven not to be running. */
  LOST = 'lost',
  /** Was not started and will not be. */
  NOT_STARTED = 'not-started',
}

/** Why a run was not started or was stopped. */
export enum RunEndCause {
  NONE = 'none',
  NO_CAPACITY = 'no-room',
  TARGET_UNAVAILABLE = 'target-away',
  DATA_CENTRE_OUT = 'data-centre-out',
  /** The target refused the order or did not answer it. */
  TARGET_REFUSED = 'target-refused',
  /** The run made no progress and was stopped. */
  HUNG = 'hung',
  /** No message from the owning entry within the time limit. */
  OWNER_UNREACHABLE = 'owner-silent',
  STOPPING = 'stopping',
  /** The owning entry requested the stop. */
  STOP_REQUESTED = 'on-request',
}

/** Returns whether the target caused the end, not the task or a scheduling decision. */
export function isTargetFault(endCause: RunEndCause): boolean {
  return (
    endCause === RunEndCause.HUNG || endCause === RunEndCause.TARGET_REFUSED
  );
}

/** Identifies one run of a task. */
export interface RunId {
  readonly task: string;
  /** Number of this run among the runs of the task, from 1. */
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
  /** Longest wait for free capacity at the agent, in milliseconds. */
  readonly patienceMs: number;
  /** Increases with each order from this entry to this agent. */
  readonly sequence: number;
  /** Present if the task is to run apart from others; not sent by earlier versions. */
  readonly suspicion?: CrashSuspicion;
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

/** A service and labels that targets have, with the largest capacity seen of these. */
export interface TargetKind {
  readonly service: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
}

/** What an agent reports of its target only when it changes. */
export interface TargetDescription {
  readonly phase: TargetPhase;
  readonly service: string;
  /** Incarnation of the target; each restart makes a new one. */
  readonly life: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /**
   * Fencing token of the agent, which orders its lives; 0 until it is known, and
   * not sent by earlier versions.
   */
  readonly token?: number;
  /**
   * Kinds of target that the agent has seen, with the largest capacity of each; not
   * sent by earlier versions.
   */
  readonly kinds?: readonly TargetKind[];
}

/**
 * A step of a target's capacity outlook: a time from the report in milliseconds, and
 * the thousandths of a processor that are expected to be free by then, less those of
 * queued orders.
 */
export type CapacityStep = readonly [inMs: number, cpuMilli: number];

/** Load of a target, as reported by its agent. */
export interface TargetLoad {
  /** Highest sequence of the receiving entry's orders that this report includes. */
  readonly through: number;
  readonly free: Resources;
  /** Number of orders that wait for free capacity. */
  readonly waiting: number;
  /** Mean ratio of run time to estimate; 1 before any run has ended. */
  readonly slowness: number;
  /** Whether runs on this target have recently failed or hung. */
  readonly isSuspect: boolean;
  /**
   * When capacity is expected to come free, the earliest step first; not sent by
   * earlier versions, nor unless the agent plans ahead.
   */
  readonly outlook?: readonly CapacityStep[];
}

/** Capacity and load of a target. */
export type TargetReport = TargetDescription & TargetLoad;

/** What an agent needs to know of a configuration. */
export interface ConfigurationSummary {
  /** Store revision of the configuration; the higher one is newer. */
  readonly revision: number;
  /** Data centres in which no new task may start. */
  readonly dataCentresOut: readonly string[];
}

/** Kinds of message from an entry to an agent. */
export enum EntryFrameKind {
  HELLO = 'hello',
  PONG = 'pong',
  ORDER = 'order',
  STOP = 'stop',
  ACKNOWLEDGE = 'acknowledge',
  ENTRIES = 'entries',
  SUMMARY = 'summary',
  CONFIGURATION_REQUEST = 'configuration-request',
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
      /** Send time copied from the ping, by the agent's clock. */
      readonly sentAtMs: number;
      /** Processor time queued at this entry, in thousandths of core-seconds. */
      readonly backlog: number;
      /** Revision of the configuration in force; 0 for none. */
      readonly revision: number;
    }
  | {
      readonly kind: EntryFrameKind.ENTRIES;
      /** Addresses of entries that the agent may link to; sent when they change. */
      readonly entries: readonly string[];
      /** Number of links that the agent needs; not sent by earlier versions. */
      readonly links?: number;
    }
  | ({readonly kind: EntryFrameKind.SUMMARY} & ConfigurationSummary)
  | {
      /** Asks for a configuration of at least this revision. */
      readonly kind: EntryFrameKind.CONFIGURATION_REQUEST;
      readonly revision: number;
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
  TARGET = 'target',
  REPORT = 'report',
  END = 'end',
  /** Not sent by earlier versions, whose entries ignore it. */
  CRASH = 'crash',
  CONFIGURATION_REQUEST = 'configuration-request',
  CONFIGURATION = 'configuration',
}

/** A message from an agent to an entry. */
export type AgentFrame =
  | {
      readonly kind: AgentFrameKind.HELLO;
      readonly agent: string;
      readonly life: string;
      readonly dataCentre: string;
      /** Runs held for the receiving entry's incarnation. */
      readonly held: readonly HeldRunReport[];
      /** Ends that the receiving entry's incarnation has not acknowledged. */
      readonly ends: readonly RunEndReport[];
      /** Highest sequence accepted from the receiving entry's incarnation. */
      readonly through: number;
      /**
       * Number of this hello, which rises with each hello of one life of the agent;
       * not sent by earlier versions.
       */
      readonly number?: number;
      /** Recent crashes of its target; not sent by earlier versions. */
      readonly crashes?: readonly TargetCrash[];
    }
  | {
      readonly kind: AgentFrameKind.PING;
      readonly sentAtMs: number;
      /** Sum of the backlogs of the agent's other entries, in core-milliseconds. */
      readonly peerBacklog: number;
      /** Highest revision of a configuration that the agent knows of; 0 for none. */
      readonly revision: number;
      /** Number of entries that the agent is linked to; not sent by earlier versions. */
      readonly links?: number;
    }
  | {readonly kind: AgentFrameKind.TARGET; readonly target: TargetDescription}
  | {readonly kind: AgentFrameKind.REPORT; readonly report: TargetLoad}
  | {readonly kind: AgentFrameKind.END; readonly report: RunEndReport}
  | {readonly kind: AgentFrameKind.CRASH; readonly crash: TargetCrash}
  | {
      /** Asks for a configuration of at least this revision, for another entry. */
      readonly kind: AgentFrameKind.CONFIGURATION_REQUEST;
      readonly revision: number;
    }
  | {
      readonly kind: AgentFrameKind.CONFIGURATION;
      readonly configuration: FleetConfiguration;
    };
