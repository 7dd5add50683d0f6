/**
 * The dispatcher's state for one incarnation of an agent: its connection, the
 * tasks sent to it and the messages pending for it.
 */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';
import {ChartInstance} from '../core/chart_instance.js';
import type {QueuedTask} from '../decisions/fair_queue.js';
import type {ProcessIdentity} from '../core/identity.js';
import type {
  AgentHello,
  LoadReport,
  StartOrder,
} from '../core/link_messages.js';
import type {AgentStreamHandle} from './dispatcher_messages.js';

/** States of `charts/agent_presence.yaml`. */
export enum PresenceState {
  CONNECTED = 'connected',
  DISCONNECTED = 'missing',
  LOST = 'gone',
}

/** Events of `charts/agent_presence.yaml`. */
export enum PresenceEvent {
  DISCONNECT = 'disconnect',
  RECONNECT = 'reconnect',
  REPLACED = 'replaced',
  RETURN_LIMIT = 'timer.returnLimit',
}

/** Actions of `charts/agent_presence.yaml`. */
export enum PresenceAction {
  PAUSE_SENDING = 'pauseSending',
  RECONCILE = 'reconcile',
  LOSE_TASKS = 'loseTasks',
}

const PRESENCE_CHART = Chart.create(readChart('agent_presence'), {
  states: PresenceState,
  events: PresenceEvent,
  actions: Object.values(PresenceAction),
});

/** A task sent to an agent whose end has not been reported. */
export interface SentTask {
  readonly sequence: number;
  readonly task: QueuedTask;
}

/** Dependencies of an agent session. */
export interface AgentSessionOptions {
  /** Incarnation of the entry that owns the session. */
  readonly entryIncarnation: string;
  readonly startNamedTimer: (name: string, fire: () => void) => () => void;
  readonly fire: (event: string) => void;
  readonly perform: (action: PresenceAction) => void;
}

/**
 * Assigns sequence numbers to the tasks sent to one incarnation of an agent and
 * tracks those that are outstanding. Outgoing messages are buffered here until
 * the dispatcher flushes them.
 */
export class AgentSession {
  private readonly chart: ChartInstance<PresenceState, PresenceEvent>;
  private lastSequence: number;
  private streamNumber: number;
  private starts: StartOrder[] = [];
  private withdrawn: number[] = [];
  private acknowledged: number[] = [];
  /** Outstanding tasks, by sequence. */
  readonly sent = new Map<number, SentTask>();
  /** The agent's last load report. */
  load: LoadReport;
  /** Monotonic time in milliseconds of the agent's last message. */
  heardAtMs: number;

  private constructor(
    readonly identity: ProcessIdentity,
    private handle: AgentStreamHandle,
    hello: AgentHello,
    nowMs: number,
    options: AgentSessionOptions,
  ) {
    this.streamNumber = hello.streamNumber;
    this.load = hello.load;
    this.heardAtMs = nowMs;
    // An agent that this entry has declared lost still holds its highest
    // sequence and drops any number at or below it as a duplicate.
    this.lastSequence =
      hello.knownEntryIncarnation === options.entryIncarnation
        ? hello.highestSequence
        : 0;
    this.chart = ChartInstance.create(PRESENCE_CHART, {
      startNamedTimer: options.startNamedTimer,
      fire: options.fire,
      perform: action => options.perform(action as PresenceAction),
    });
  }

  /** Creates the session of an agent that has just connected. */
  static create(
    hello: AgentHello,
    handle: AgentStreamHandle,
    nowMs: number,
    options: AgentSessionOptions,
  ): AgentSession {
    return new AgentSession(hello.agent, handle, hello, nowMs, options);
  }

  /** The state of the connection to the agent. */
  get state(): PresenceState {
    return this.chart.state;
  }

  /** The agent's newest stream; it may be closed. */
  get stream(): AgentStreamHandle {
    return this.handle;
  }

  /** Whether buffered messages wait for a flush. */
  get hasOutput(): boolean {
    return (
      this.starts.length + this.withdrawn.length + this.acknowledged.length > 0
    );
  }

  /** Sends an event to the presence state machine. */
  change(event: PresenceEvent): void {
    this.chart.send(event);
  }

  /** Cancels the timers of the presence state machine. */
  stopTimers(): void {
    this.chart.stopTimers();
  }

  /**
   * Switches the session to the stream of a newer hello.
   *
   * @return false if the hello is not newer than the last one accepted; its
   *     highest sequence is out of date and must not be trusted.
   */
  replaceStream(hello: AgentHello, handle: AgentStreamHandle): boolean {
    if (hello.streamNumber <= this.streamNumber) return false;
    if (handle.id !== this.handle.id) this.handle.close();
    this.streamNumber = hello.streamNumber;
    this.handle = handle;
    this.load = hello.load;
    // What was buffered for the old stream was never sent: its sequences are
    // above the highest that the agent reports, so the tasks count as returned.
    this.starts = [];
    this.withdrawn = [];
    this.acknowledged = [];
    return true;
  }

  /** Removes and returns the tasks above a sequence, which never arrived. */
  takeUnreceived(sequence: number): SentTask[] {
    const returned: SentTask[] = [];
    for (const task of this.sent.values()) {
      if (task.sequence > sequence) returned.push(task);
    }
    for (const task of returned) this.sent.delete(task.sequence);
    return returned;
  }

  /** Removes and returns all outstanding tasks. */
  takeAll(): SentTask[] {
    const tasks = [...this.sent.values()];
    this.sent.clear();
    return tasks;
  }

  /** Buffers a start order for a task and returns its sequence. */
  addStart(order: Omit<StartOrder, 'sequence'>, task: QueuedTask): number {
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    this.sent.set(sequence, {sequence, task});
    this.starts.push({...order, sequence});
    return sequence;
  }

  /** Buffers a request to return a task that has not started. */
  addWithdrawal(sequence: number): void {
    this.withdrawn.push(sequence);
  }

  /** Buffers the acknowledgement of a task report. */
  addAcknowledgement(sequence: number): void {
    this.acknowledged.push(sequence);
  }

  /** Sends the buffered messages in one frame if the agent is connected. */
  flush(): void {
    if (!this.hasOutput || this.chart.state !== PresenceState.CONNECTED) return;
    const {starts, withdrawn, acknowledged} = this;
    this.starts = [];
    this.withdrawn = [];
    this.acknowledged = [];
    this.handle.send({starts, withdrawn, acknowledged});
  }

  /** Counts outstanding tasks that the agent's last load report omits. */
  countUnreported(): number {
    let count = 0;
    for (const sequence of this.sent.keys()) {
      if (sequence > this.load.highestSequence) count += 1;
    }
    return count;
  }
}
