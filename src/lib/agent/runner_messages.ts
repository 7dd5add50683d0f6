/** Messages among the tasks of an agent. */
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

/** Kinds of message that the runner takes. */
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

/** What the runner knows of the target beside it. */
export interface TargetView {
  readonly condition: TargetCondition;
  readonly name: string;
  readonly instance: string;
  readonly slots: number;
}

/** The view before any target has announced itself. */
export const NO_TARGET: TargetView = {
  condition: TargetCondition.ABSENT,
  name: '',
  instance: '',
  slots: 0,
};

/** Messages that the runner takes. */
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

/** Kinds of message that an entry link takes. */
export enum LinkMessageKind {
  HELLO = 'hello',
  SEND = 'send',
  RECEIVED = 'received',
  BROKEN = 'broken',
  TIMER = 'timer',
  PING_DUE = 'ping-due',
  STOP = 'stop',
}

/** Messages that an entry link takes. */
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

/** Kinds of message that the target's keeper takes. */
export enum TargetMessageKind {
  ANNOUNCED = 'announced',
  DEREGISTERED = 'said-goodbye',
  TIMER = 'timer',
  RUN = 'run',
  RUN_FINISHED = 'run-settled',
}

/** What a target says of itself when it announces itself. */
export interface TargetAnnouncement {
  readonly name: string;
  /** Base URL on which the target takes tasks. */
  readonly address: string;
  /** Random, different for each life of the target. */
  readonly instance: string;
  /** Tasks it runs at once. */
  readonly slots: number;
  /** Connections it takes at once. */
  readonly connections: number;
}

/** Messages that the target's keeper takes. */
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
      /** Host's monotonic time in milliseconds; no start at or after it. */
      readonly startBeforeMs: number;
    }
  | {
      readonly kind: TargetMessageKind.RUN_FINISHED;
      readonly task: AgentTask;
      readonly instance: string;
      readonly end: RunEnd;
    };

/** Kinds of message that the keeper of the links takes. */
export enum LinkManagerMessageKind {
  CONFIGURATION = 'configuration',
}

/** Messages that the keeper of the links takes. */
export interface LinkManagerMessage {
  readonly kind: LinkManagerMessageKind.CONFIGURATION;
  readonly configuration: AgentConfiguration;
}
