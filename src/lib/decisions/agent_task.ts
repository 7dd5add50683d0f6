/** A task at an agent, its states, and the conditions for starting it. */
import type {NotStartedReason, StartOrder} from '../core/link_messages.js';

/** States of `charts/agent_task.yaml`. */
export enum AgentTaskState {
  QUEUED = 'queued',
  RUNNING = 'running',
  ENDED = 'ended',
  NOT_STARTED = 'notStarted',
  FORGOTTEN = 'forgotten',
}

/** Events of `charts/agent_task.yaml`. */
export enum AgentTaskEvent {
  START = 'start',
  REFUSE = 'refuse',
  ANSWERED = 'answered',
  REJECTED = 'rejected',
  BROKEN = 'broken',
  UNSENT = 'unsent',
  ACKNOWLEDGE = 'acknowledge',
}

/** One task at an agent. */
export interface AgentTask {
  readonly entry: string;
  readonly order: StartOrder;
  readonly receivedAtMs: number;
  startedAtMs: number;
  state: AgentTaskState;
}

/** Conditions under which tasks may start at a given time. */
export interface StartConditions {
  readonly nowMs: number;
  /** Time before which starts are allowed; 0 if they are not. */
  readonly permittedUntilMs: number;
  /** Why starts are not allowed; `NONE` if they are. */
  readonly refusal: NotStartedReason;
  /** Slots of the target; 0 if there is none. */
  readonly slots: number;
}

/** How a task ended, by the target's answer or the lack of one. */
export interface RunEnd {
  readonly event:
    | AgentTaskEvent.ANSWERED
    | AgentTaskEvent.REJECTED
    | AgentTaskEvent.BROKEN
    | AgentTaskEvent.UNSENT;
  readonly result: Uint8Array;
  readonly targetStatus: number;
}
