/** The agents of an entry: greetings, reports, and what is sent to them. */
import type {ProcessIdentity} from '../core/identity.js';
import {TaskEnd} from '../core/job.js';
import {NotStartedReason, TargetCondition} from '../core/link_messages.js';
import type {
  AgentFrame,
  AgentHello,
  LoadReport,
  StartOrder,
  TaskReport,
} from '../core/link_messages.js';
import type {QueuedTask} from '../decisions/fair_queue.js';
import {
  AgentSession,
  PresenceAction,
  PresenceEvent,
  PresenceState,
} from './agent_session.js';
import type {SentTask} from './agent_session.js';
import {EMPTY_FRAME} from './agent_registry_options.js';
import type {
  AgentRegistryOptions,
  AgentStatus,
} from './agent_registry_options.js';
import type {AgentStreamHandle} from './dispatcher_messages.js';

/** Silence in milliseconds after which an agent gets no new task. */
const SILENCE_LIMIT_MS = 2500;

const NO_BYTES = new Uint8Array(0);

/** Keeps an account of each agent's life for the dispatcher, which owns it. */
export class AgentRegistry {
  private readonly agents = new Map<string, AgentSession>();
  private readonly agentByStream = new Map<number, string>();
  private isFlushScheduled = false;

  private constructor(private readonly options: AgentRegistryOptions) {}

  /** Creates a desk without agents. */
  static create(options: AgentRegistryOptions): AgentRegistry {
    return new AgentRegistry(options);
  }

  /** Lists the agents known. */
  listAgents(): AgentStatus[] {
    return [...this.agents.values()].map(account => ({
      agent: account.identity,
      state: account.state,
      load: account.load,
      outstanding: account.sent.size,
      heardAtMs: account.heardAtMs,
    }));
  }

  /** Takes the greeting that opens a stream. */
  handleHello(stream: AgentStreamHandle, hello: AgentHello): void {
    const account = this.findAccount(stream, hello);
    if (account === undefined) {
      stream.close();
      return;
    }
    const {incarnation} = hello.agent;
    this.agentByStream.set(stream.id, incarnation);
    stream.send({
      ...EMPTY_FRAME,
      welcome: this.options.identity,
      configuration: this.options.describeConfiguration(),
    });
    this.takeLoad(account, hello.load);
  }

  /** Takes a frame of an open stream. */
  handleFrame(stream: AgentStreamHandle, frame: AgentFrame): void {
    const incarnation = this.agentByStream.get(stream.id) ?? '';
    const account = this.agents.get(incarnation);
    if (account === undefined || account.stream.id !== stream.id) {
      stream.close();
      return;
    }
    account.heardAtMs = this.options.readMonotonicMs();
    for (const report of frame.reports) this.takeReport(account, report);
    if (frame.load !== undefined) {
      this.options.counters.loadReports += 1;
      this.takeLoad(account, frame.load);
    }
    if (frame.pingSentAtMs !== undefined) {
      this.options.counters.pings += 1;
      const pong = this.options.describePong(frame.pingSentAtMs);
      stream.send({...EMPTY_FRAME, pong});
    }
  }

  /** Takes the end of a stream. */
  handleClosedStream(stream: AgentStreamHandle): void {
    const incarnation = this.agentByStream.get(stream.id) ?? '';
    this.agentByStream.delete(stream.id);
    const account = this.agents.get(incarnation);
    if (account === undefined || account.stream.id !== stream.id) return;
    account.change(PresenceEvent.DISCONNECT);
  }

  /** Takes the event of an agent's timer. */
  handleTimer(agent: string, event: PresenceEvent): void {
    this.agents.get(agent)?.change(event);
  }

  /** Sends a task to an agent; returns its sequence, or undefined if it is gone. */
  sendStart(
    agent: string,
    order: Omit<StartOrder, 'sequence'>,
    task: QueuedTask,
  ): number | undefined {
    const account = this.agents.get(agent);
    if (account === undefined) return undefined;
    this.options.counters.ordersSent += 1;
    this.scheduleFlush();
    return account.addStart(order, task);
  }

  /** Asks an agent to give a task back if it has not started. */
  withdraw(agent: string, sequence: number): void {
    this.options.counters.withdrawals += 1;
    this.agents.get(agent)?.addWithdrawal(sequence);
    this.scheduleFlush();
  }

  /** Tells all connected agents the configuration in force. */
  publishConfiguration(): void {
    const configuration = this.options.describeConfiguration();
    if (configuration === undefined) return;
    for (const account of this.agents.values()) {
      if (account.state !== PresenceState.CONNECTED) continue;
      account.stream.send({...EMPTY_FRAME, configuration});
    }
  }

  /** Treats agents that have been silent for too long as disconnected. */
  disconnectSilentAgents(nowMs: number): void {
    for (const account of this.agents.values()) {
      if (account.state !== PresenceState.CONNECTED) continue;
      if (nowMs - account.heardAtMs <= SILENCE_LIMIT_MS) continue;
      account.stream.close();
      account.change(PresenceEvent.DISCONNECT);
    }
  }

  /** Stops the timers of all accounts. */
  stopTimers(): void {
    for (const account of this.agents.values()) account.stopTimers();
  }

  private findAccount(
    stream: AgentStreamHandle,
    hello: AgentHello,
  ): AgentSession | undefined {
    const known = this.agents.get(hello.agent.incarnation);
    if (known === undefined) {
      this.replaceLives(hello.agent);
      return this.openAccount(stream, hello);
    }
    if (!known.replaceStream(hello, stream)) return undefined;
    known.heardAtMs = this.options.readMonotonicMs();
    const own = this.options.identity.incarnation;
    // An agent that has forgotten this entry cannot prove anything.
    if (hello.knownEntryIncarnation !== own) this.endLostTasks(known);
    this.takeBackUnreceived(known, hello.highestSequence);
    known.change(PresenceEvent.RECONNECT);
    return known;
  }

  private replaceLives(agent: ProcessIdentity): void {
    for (const account of [...this.agents.values()]) {
      if (account.identity.id !== agent.id) continue;
      account.change(PresenceEvent.REPLACED);
    }
  }

  private openAccount(
    stream: AgentStreamHandle,
    hello: AgentHello,
  ): AgentSession {
    const {incarnation, dataCentre} = hello.agent;
    const {options} = this;
    const nowMs = options.readMonotonicMs();
    const account = AgentSession.create(hello, stream, nowMs, {
      entryIncarnation: options.identity.incarnation,
      startNamedTimer: (_name, fire) =>
        options.startTimer(options.returnLimitMs, fire),
      fire: event => options.postTimer(incarnation, event),
      perform: action => this.perform(incarnation, action),
    });
    this.agents.set(incarnation, account);
    options.agentLoads.addAgent(incarnation, dataCentre);
    options.reportAgent(PresenceState.CONNECTED, hello.agent);
    return account;
  }

  private perform(incarnation: string, action: PresenceAction): void {
    const account = this.agents.get(incarnation);
    if (account === undefined) return;
    const {agentLoads: board, reportAgent} = this.options;
    const {identity} = account;
    switch (action) {
      case PresenceAction.PAUSE_SENDING:
        board.pauseAgent(incarnation);
        reportAgent(PresenceState.DISCONNECTED, identity);
        break;
      case PresenceAction.RECONCILE:
        board.addAgent(incarnation, identity.dataCentre);
        reportAgent(PresenceState.CONNECTED, identity);
        break;
      case PresenceAction.LOSE_TASKS:
        this.agents.delete(incarnation);
        board.removeAgent(incarnation);
        this.endLostTasks(account);
        account.stream.close();
        reportAgent(PresenceState.LOST, identity);
        break;
    }
  }

  private takeBackUnreceived(
    account: AgentSession,
    highestSequence: number,
  ): void {
    for (const sent of account.takeUnreceived(highestSequence)) {
      this.options.counters.ordersReturned += 1;
      this.endTask(account, sent, TaskEnd.NOT_STARTED);
    }
  }

  private endLostTasks(account: AgentSession): void {
    for (const sent of account.takeAll()) {
      this.endTask(account, sent, TaskEnd.UNKNOWN);
    }
  }

  private endTask(account: AgentSession, sent: SentTask, end: TaskEnd): void {
    this.options.endTask(sent.task, account.identity.incarnation, {
      sequence: sent.sequence,
      end,
      reason: NotStartedReason.NONE,
      result: NO_BYTES,
      runMs: 0,
      queuedMs: 0,
      targetStatus: 0,
    });
  }

  private takeReport(account: AgentSession, report: TaskReport): void {
    account.addAcknowledgement(report.sequence);
    this.scheduleFlush();
    const sent = account.sent.get(report.sequence);
    if (sent === undefined) return;
    account.sent.delete(report.sequence);
    if (report.end === TaskEnd.NOT_STARTED) {
      this.options.counters.ordersReturned += 1;
    }
    this.options.endTask(sent.task, account.identity.incarnation, report);
  }

  private takeLoad(account: AgentSession, load: LoadReport): void {
    account.load = load;
    const isUsable =
      load.target === TargetCondition.PRESENT &&
      load.isPermitted &&
      !load.isLeaving &&
      account.state === PresenceState.CONNECTED;
    this.options.agentLoads.applyReport(
      account.identity.incarnation,
      {
        isUsable,
        targetInstance: load.targetInstance,
        slots: load.slots,
        queueLimit: load.queueLimit,
        running: load.running,
        queued: load.queued,
        unreported: account.countUnreported(),
      },
      this.options.readMonotonicMs(),
    );
  }

  // One flush a turn of the event loop batches what that turn produced.
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.options.defer(() => this.flush());
  }

  private flush(): void {
    this.isFlushScheduled = false;
    for (const account of this.agents.values()) {
      if (!account.hasPending) continue;
      this.options.counters.framesSent += 1;
      account.flush();
    }
  }
}
