/** What an entry and an agent tell each other, free of any encoding. */
import type {ProcessIdentity} from './identity.js';
import type {TaskEnd} from './job.js';
import type {
  EntryAddress,
  StoreContact,
} from '../records/configuration_view.js';

/** Asks an agent to start one task at most once. */
export interface StartOrder {
  /** Rises strictly between one life of an entry and one life of an agent. */
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

/** Why an agent says that a task did not start and never will. */
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
  /** JSON text of the result, or the first part of the target's error. */
  readonly result: Uint8Array;
  readonly runMs: number;
  readonly queuedMs: number;
  /** HTTP status of the target, 0 if it gave none. */
  readonly targetStatus: number;
}

/** Whether a target takes tasks. */
export enum TargetCondition {
  ABSENT = 'absent',
  PRESENT = 'present',
  LEAVING = 'leaving',
}

/** What an agent tells an entry about its room. */
export interface LoadReport {
  readonly target: TargetCondition;
  readonly targetName: string;
  readonly targetInstance: string;
  /** False while the agent holds no permission to start tasks. */
  readonly isPermitted: boolean;
  readonly isLeaving: boolean;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  readonly queueLimit: number;
  readonly configurationRevision: number;
  /** Tasks of the receiving entry among `running` and `queued`. */
  readonly ownOutstanding: number;
  /** Highest sequence of the receiving entry that this report counts. */
  readonly highestSequence: number;
}

/** Opens a stream. */
export interface AgentHello {
  readonly agent: ProcessIdentity;
  readonly streamNumber: number;
  /** Incarnation that `highestSequence` belongs to; empty if none is known. */
  readonly knownEntryIncarnation: string;
  readonly highestSequence: number;
  readonly load: LoadReport;
}

/** One frame from an agent to an entry. */
export interface AgentFrame {
  readonly hello?: AgentHello;
  readonly reports: readonly TaskReport[];
  readonly load?: LoadReport;
  /** Agent's monotonic time in milliseconds, to be echoed. */
  readonly pingSentAtMs?: number;
}

/** The part of the configuration that agents need. */
export interface AgentConfiguration {
  readonly revision: number;
  readonly dataCentresOut: readonly string[];
  readonly entries: readonly EntryAddress[];
}

/** Echo of a ping, with how fresh the entry's configuration is. */
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
  /** Sequences of tasks that should be given back if they have not started. */
  readonly withdrawn: readonly number[];
  /** Sequences whose reports have been taken and may be forgotten. */
  readonly acknowledged: readonly number[];
  readonly pong?: EntryPong;
  readonly configuration?: AgentConfiguration;
}
