/** A task at an agent, its chart, and what decides when it may start. */
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

/** Whether and until when tasks may start. */
export interface StartConditions {
  readonly nowMs: number;
  /** Starts are allowed before this time; 0 if not at all. */
  readonly permittedUntilMs: number;
  /** Why starts are not allowed, if so. */
  readonly refusal: NotStartedReason;
  /** Slots of the target; 0 if there is none. */
  readonly slots: number;
}

/** How a target's answer, or the lack of one, ended a task. */
export interface RunEnd {
  readonly event:
    | AgentTaskEvent.ANSWERED
    | AgentTaskEvent.REJECTED
    | AgentTaskEvent.BROKEN
    | AgentTaskEvent.UNSENT;
  readonly result: Uint8Array;
  readonly targetStatus: number;
}
