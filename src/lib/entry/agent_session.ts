/** One life of an agent, as the dispatcher of an entry accounts for it. */
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

/** A task that has been sent to an agent and has not ended. */
export interface SentTask {
  readonly sequence: number;
  readonly task: QueuedTask;
}

/** What an account needs to be created. */
export interface AgentSessionOptions {
  /** The life of the entry that keeps the account. */
  readonly entryIncarnation: string;
  readonly startNamedTimer: (name: string, fire: () => void) => () => void;
  readonly fire: (event: string) => void;
  readonly perform: (action: PresenceAction) => void;
}

/**
 * Numbers what is sent to one life of an agent and keeps what has not ended.
 * Frames gather here until the dispatcher flushes them.
 */
export class AgentSession {
  private readonly run: ChartInstance<PresenceState, PresenceEvent>;
  private lastSequence: number;
  private streamNumber: number;
  private starts: StartOrder[] = [];
  private withdrawn: number[] = [];
  private acknowledged: number[] = [];
  /** Tasks sent that have not ended, by sequence. */
  readonly sent = new Map<number, SentTask>();
  /** The agent's last report. */
  load: LoadReport;
  /** Monotonic time in milliseconds at which the agent was last heard. */
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
    // An agent that this entry had given up keeps its guard: numbers at or
    // below it would be dropped as repeated.
    this.lastSequence =
      hello.knownEntryIncarnation === options.entryIncarnation
        ? hello.highestSequence
        : 0;
    this.run = ChartInstance.create(PRESENCE_CHART, {
      startNamedTimer: options.startNamedTimer,
      fire: options.fire,
      perform: action => options.perform(action as PresenceAction),
    });
  }

  /** Creates the account of an agent that has just connected. */
  static create(
    hello: AgentHello,
    handle: AgentStreamHandle,
    nowMs: number,
    options: AgentSessionOptions,
  ): AgentSession {
    return new AgentSession(hello.agent, handle, hello, nowMs, options);
  }

  /** Whether the agent is there. */
  get state(): PresenceState {
    return this.run.state;
  }

  /** The stream on which the agent was last heard. */
  get stream(): AgentStreamHandle {
    return this.handle;
  }

  /** Whether frames wait to be flushed. */
  get hasPending(): boolean {
    return (
      this.starts.length + this.withdrawn.length + this.acknowledged.length > 0
    );
  }

  /** Moves the presence on. */
  change(event: PresenceEvent): void {
    this.run.send(event);
  }

  /** Stops the timers. */
  stopTimers(): void {
    this.run.stopTimers();
  }

  /**
   * Takes the greeting of a newer stream.
   *
   * @return false if the greeting is of an older stream than one seen, whose
   *     highest sequence must not be trusted.
   */
  replaceStream(hello: AgentHello, handle: AgentStreamHandle): boolean {
    if (hello.streamNumber <= this.streamNumber) return false;
    if (handle.id !== this.handle.id) this.handle.close();
    this.streamNumber = hello.streamNumber;
    this.handle = handle;
    this.load = hello.load;
    // What was gathered for the old stream was never sent: its sequences are
    // above the highest that the agent names, so it counts as returned.
    this.starts = [];
    this.withdrawn = [];
    this.acknowledged = [];
    return true;
  }

  /** Takes back the tasks above a sequence: they never arrived. */
  takeUnreceived(sequence: number): SentTask[] {
    const returned: SentTask[] = [];
    for (const task of this.sent.values()) {
      if (task.sequence > sequence) returned.push(task);
    }
    for (const task of returned) this.sent.delete(task.sequence);
    return returned;
  }

  /** Takes all tasks that have not ended out of the account. */
  takeAll(): SentTask[] {
    const tasks = [...this.sent.values()];
    this.sent.clear();
    return tasks;
  }

  /** Numbers a task, queues its start order and returns the number. */
  addStart(order: Omit<StartOrder, 'sequence'>, task: QueuedTask): number {
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    this.sent.set(sequence, {sequence, task});
    this.starts.push({...order, sequence});
    return sequence;
  }

  /** Queues a request to give a task back. */
  addWithdrawal(sequence: number): void {
    this.withdrawn.push(sequence);
  }

  /** Queues the acknowledgement of a report. */
  addAcknowledgement(sequence: number): void {
    this.acknowledged.push(sequence);
  }

  /** Sends what has gathered, if the agent is connected. */
  flush(): void {
    if (!this.hasPending || this.run.state !== PresenceState.CONNECTED) return;
    const {starts, withdrawn, acknowledged} = this;
    this.starts = [];
    this.withdrawn = [];
    this.acknowledged = [];
    this.handle.send({starts, withdrawn, acknowledged});
  }

  /** Counts own tasks that the agent's last report does not count. */
  countUnreported(): number {
    let count = 0;
    for (const sequence of this.sent.keys()) {
      if (sequence > this.load.highestSequence) count += 1;
    }
    return count;
  }
}
