/** Messages between the tasks of an agent. */
import {TargetCondition} from '../core/link_messages.js';
import type {ProcessIdentity} from '../core/identity.js';
import type {
  AgentHello,
  EntryFrame,
  LoadReport,
  TaskReport,
} from '../core/link_messages.js';
import type {AgentTask, RunEnd} from '../decisions/agent_task.js';
import type {AgentConfiguration} from '../core/link_messages.js';

/** Kinds of messages to the runner. */
export enum RunnerMessageKind {
  LINK_OPENING = 'link-opening',
  LINK_OPENED = 'link-opened',
  LINK_FRAME = 'link-frame',
  LINK_CLOSED = 'link-closed',
  TARGET_CHANGED = 'target-changed',
  RUN_ENDED = 'run-ended',
  TICK = 'tick',
  LOAD_DUE = 'load-due',
  LEAVE = 'leave',
  REFUSE_WORK = 'refuse-work',
}

/** The runner's view of its target. */
export interface TargetView {
  readonly condition: TargetCondition;
  readonly name: string;
  readonly instance: string;
  readonly slots: number;
}

/** The view before a target has announced itself. */
export const NO_TARGET: TargetView = {
  condition: TargetCondition.ABSENT,
  name: '',
  instance: '',
  slots: 0,
};

/** Messages to the runner; `link` is the address of a link's entry. */
export type RunnerMessage =
  | {
      readonly kind: RunnerMessageKind.LINK_OPENING;
      readonly link: string;
      readonly streamNumber: number;
    }
  | {
      readonly kind: RunnerMessageKind.LINK_OPENED;
      readonly link: string;
      readonly entry: ProcessIdentity;
    }
  | {
      readonly kind: RunnerMessageKind.LINK_FRAME;
      readonly link: string;
      readonly frame: EntryFrame;
    }
  | {readonly kind: RunnerMessageKind.LINK_CLOSED; readonly link: string}
  | {
      readonly kind: RunnerMessageKind.TARGET_CHANGED;
      readonly target: TargetView;
    }
  | {
      readonly kind: RunnerMessageKind.RUN_ENDED;
      readonly task: AgentTask;
      readonly end: RunEnd;
    }
  | {readonly kind: RunnerMessageKind.TICK}
  | {readonly kind: RunnerMessageKind.LOAD_DUE}
  | {readonly kind: RunnerMessageKind.LEAVE}
  | {readonly kind: RunnerMessageKind.REFUSE_WORK};

/** Kinds of messages to an entry link. */
export enum LinkMessageKind {
  HELLO = 'hello',
  SEND = 'send',
  RECEIVED = 'received',
  BROKEN = 'broken',
  TIMER = 'timer',
  PING_DUE = 'ping-due',
  STOP = 'stop',
}

/** Messages to an entry link. */
export type LinkMessage =
  | {readonly kind: LinkMessageKind.HELLO; readonly hello: AgentHello}
  | {
      readonly kind: LinkMessageKind.SEND;
      readonly reports: readonly TaskReport[];
      readonly load: LoadReport;
    }
  | {
      readonly kind: LinkMessageKind.RECEIVED;
      readonly streamNumber: number;
      readonly frame: EntryFrame;
    }
  | {
      readonly kind: LinkMessageKind.BROKEN;
      readonly streamNumber: number;
      readonly detail: string;
    }
  | {readonly kind: LinkMessageKind.TIMER; readonly event: string}
  | {readonly kind: LinkMessageKind.PING_DUE}
  | {readonly kind: LinkMessageKind.STOP};

/** Kinds of messages to the target manager. */
export enum TargetMessageKind {
  ANNOUNCED = 'announced',
  DEREGISTERED = 'said-goodbye',
  TIMER = 'timer',
  RUN = 'run',
  RUN_FINISHED = 'run-settled',
}

/** Announcement of a target: its address and capacity. */
export interface TargetAnnouncement {
  readonly name: string;
  /** Base URL on which the target accepts tasks. */
  readonly address: string;
  /** Random identifier, different for each start of the target. */
  readonly instance: string;
  /** Maximum number of concurrent tasks. */
  readonly slots: number;
  /** Maximum number of concurrent connections. */
  readonly connections: number;
}

/** Messages to the target manager. */
export type TargetMessage =
  | {
      readonly kind: TargetMessageKind.ANNOUNCED;
      readonly announcement: TargetAnnouncement;
    }
  | {
      readonly kind: TargetMessageKind.DEREGISTERED;
      readonly name: string;
      readonly instance: string;
    }
  | {readonly kind: TargetMessageKind.TIMER; readonly event: string}
  | {
      readonly kind: TargetMessageKind.RUN;
      readonly task: AgentTask;
      /** Host's monotonic time in milliseconds at and after which the task must not start. */
      readonly startBeforeMs: number;
    }
  | {
      readonly kind: TargetMessageKind.RUN_FINISHED;
      readonly task: AgentTask;
      readonly instance: string;
      readonly end: RunEnd;
    };

/** Kinds of messages to the link manager. */
export enum LinkManagerMessageKind {
  CONFIGURATION = 'configuration',
}

/** Messages to the link manager. */
export interface LinkManagerMessage {
  readonly kind: LinkManagerMessageKind.CONFIGURATION;
  readonly configuration: AgentConfiguration;
}
