/** Messages between an entry and an agent, independent of their encoding. */
import type {ProcessIdentity} from './identity.js';
import type {TaskEnd} from './job.js';
import type {
  EntryAddress,
  StoreContact,
} from '../records/configuration_view.js';

/** Order to an agent to start one task at most once. */
export interface StartOrder {
  /** Strictly increasing between one incarnation of an entry and one of an agent. */
  readonly sequence: number;
  readonly job: string;
  readonly index: number;
  readonly team: string;
  readonly taskClass: string;
  /** JSON text in UTF-8. */
  readonly payload: Uint8Array;
  /** Longest time the task may wait at the agent, in milliseconds. */
  readonly startWithinMs: number;
  /** Longest time the target may take, in milliseconds. */
  readonly runWithinMs: number;
  readonly trace: string;
}

/** Why a task was not started by an agent and will not be. */
export enum NotStartedReason {
  NONE = 'none',
  QUEUE_FULL = 'queue-full',
  NO_TARGET = 'no-target',
  NO_PERMISSION = 'no-permission',
  DATA_CENTRE_OUT = 'data-centre-out',
  WITHDRAWN = 'withdrawn',
  EXPIRED = 'expired',
  LEAVING = 'leaving',
  STALE_SEQUENCE = 'stale-sequence',
  TARGET_UNREACHABLE = 'target-unreachable',
}

/** How a task ended at an agent. */
export interface TaskReport {
  readonly sequence: number;
  readonly end: TaskEnd;
  readonly reason: NotStartedReason;
  /** JSON text of the result, or the beginning of the target's error. */
  readonly result: Uint8Array;
  readonly runMs: number;
  readonly queuedMs: number;
  /** HTTP status of the target; 0 if it did not answer. */
  readonly targetStatus: number;
}

/** Whether a target accepts tasks. */
export enum TargetCondition {
  ABSENT = 'absent',
  PRESENT = 'present',
  LEAVING = 'leaving',
}

/** Load and free capacity of an agent, as reported to an entry. */
export interface LoadReport {
  readonly target: TargetCondition;
  readonly targetName: string;
  readonly targetInstance: string;
  /** False while the agent has no permission to start tasks. */
  readonly isPermitted: boolean;
  readonly isLeaving: boolean;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  readonly queueLimit: number;
  readonly configurationRevision: number;
  /** Number of the receiving entry's tasks in `running` and `queued`. */
  readonly ownOutstanding: number;
  /** Highest sequence of the receiving entry's orders that this report includes. */
  readonly highestSequence: number;
}

/** First message of an agent on a stream. */
export interface AgentHello {
  readonly agent: ProcessIdentity;
  readonly streamNumber: number;
  /** Incarnation of the entry to which `highestSequence` belongs; empty if unknown. */
  readonly knownEntryIncarnation: string;
  readonly highestSequence: number;
  readonly load: LoadReport;
}

/** One frame from an agent to an entry. */
export interface AgentFrame {
  readonly hello?: AgentHello;
  readonly reports: readonly TaskReport[];
  readonly load?: LoadReport;
  /** Agent's monotonic time in milliseconds; the entry echoes it. */
  readonly pingSentAtMs?: number;
}

/** The part of the configuration that agents need. */
export interface AgentConfiguration {
  readonly revision: number;
  readonly dataCentresOut: readonly string[];
  readonly entries: readonly EntryAddress[];
}

/** Reply to a ping, with the age of the entry's configuration. */
export interface EntryPong {
  readonly pingSentAtMs: number;
  readonly contact: StoreContact;
  /** Time since the entry sent the store call that confirmed its revision. */
  readonly confirmedAgeMs: number;
  readonly configurationRevision: number;
  readonly isLeaving: boolean;
}

/** One frame from an entry to an agent. */
export interface EntryFrame {
  readonly welcome?: ProcessIdentity;
  readonly starts: readonly StartOrder[];
  /** Sequences of tasks that the agent must return if they have not started. */
  readonly withdrawn: readonly number[];
  /** Sequences whose reports have been received and may be discarded. */
  readonly acknowledged: readonly number[];
  readonly pong?: EntryPong;
  readonly configuration?: AgentConfiguration;
}
