/** The agents connected to an entry: their streams, reports and tasks. */
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

/** Milliseconds without a frame after which an agent gets no new task. */
const AGENT_CONTACT_TIMEOUT_MS = 2500;

const NO_BYTES = new Uint8Array(0);

/** Holds a session for each agent incarnation; owned by the dispatcher. */
export class AgentRegistry {
  private readonly agents = new Map<string, AgentSession>();
  private readonly agentByStream = new Map<number, string>();
  private isFlushScheduled = false;

  private constructor(private readonly options: AgentRegistryOptions) {}

  /** Creates a registry without agents. */
  static create(options: AgentRegistryOptions): AgentRegistry {
    return new AgentRegistry(options);
  }

  /** Describes each agent with a session, for status pages. */
  listAgents(): AgentStatus[] {
    return [...this.agents.values()].map(session => ({
      agent: session.identity,
      state: session.state,
      load: session.load,
      outstanding: session.sent.size,
      heardAtMs: session.heardAtMs,
    }));
  }

  /** Handles the hello that opens a stream. */
  handleHello(stream: AgentStreamHandle, hello: AgentHello): void {
    const session = this.findSession(stream, hello);
    if (session === undefined) {
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
    this.applyLoad(session, hello.load);
  }

  /** Handles a frame; closes the stream if it is not the agent's newest. */
  handleFrame(stream: AgentStreamHandle, frame: AgentFrame): void {
    const incarnation = this.agentByStream.get(stream.id) ?? '';
    const session = this.agents.get(incarnation);
    if (session === undefined || session.stream.id !== stream.id) {
      stream.close();
      return;
    }
    session.heardAtMs = this.options.readMonotonicMs();
    for (const report of frame.reports) this.handleReport(session, report);
    if (frame.load !== undefined) {
      this.options.counters.loadReports += 1;
      this.applyLoad(session, frame.load);
    }
    if (frame.pingSentAtMs !== undefined) {
      this.options.counters.pings += 1;
      const pong = this.options.describePong(frame.pingSentAtMs);
      stream.send({...EMPTY_FRAME, pong});
    }
  }

  /** Marks the agent as disconnected if its newest stream has closed. */
  handleClosedStream(stream: AgentStreamHandle): void {
    const incarnation = this.agentByStream.get(stream.id) ?? '';
    this.agentByStream.delete(stream.id);
    const session = this.agents.get(incarnation);
    if (session === undefined || session.stream.id !== stream.id) return;
    session.change(PresenceEvent.DISCONNECT);
  }

  /** Handles a timer event that was posted for an agent. */
  handleTimer(agent: string, event: PresenceEvent): void {
    this.agents.get(agent)?.change(event);
  }

  /** Sends a task; returns its sequence, or undefined if the agent is lost. */
  sendStart(
    agent: string,
    order: Omit<StartOrder, 'sequence'>,
    task: QueuedTask,
  ): number | undefined {
    const session = this.agents.get(agent);
    if (session === undefined) return undefined;
    this.options.counters.ordersSent += 1;
    this.scheduleFlush();
    return session.addStart(order, task);
  }

  /** Asks an agent to return a task if it has not started. */
  withdraw(agent: string, sequence: number): void {
    this.options.counters.withdrawals += 1;
    this.agents.get(agent)?.addWithdrawal(sequence);
    this.scheduleFlush();
  }

  /** Sends the configuration in force to all connected agents. */
  publishConfiguration(): void {
    const configuration = this.options.describeConfiguration();
    if (configuration === undefined) return;
    for (const session of this.agents.values()) {
      if (session.state !== PresenceState.CONNECTED) continue;
      session.stream.send({...EMPTY_FRAME, configuration});
    }
  }

  /** Disconnects agents that have sent nothing within the contact timeout. */
  disconnectUnresponsiveAgents(nowMs: number): void {
    for (const session of this.agents.values()) {
      if (session.state !== PresenceState.CONNECTED) continue;
      if (nowMs - session.heardAtMs <= AGENT_CONTACT_TIMEOUT_MS) continue;
      session.stream.close();
      session.change(PresenceEvent.DISCONNECT);
    }
  }

  /** Cancels the timers of all sessions. */
  stopTimers(): void {
    for (const session of this.agents.values()) session.stopTimers();
  }

  private findSession(
    stream: AgentStreamHandle,
    hello: AgentHello,
  ): AgentSession | undefined {
    const known = this.agents.get(hello.agent.incarnation);
    if (known === undefined) {
      this.replaceIncarnations(hello.agent);
      return this.openSession(stream, hello);
    }
    if (!known.replaceStream(hello, stream)) return undefined;
    known.heardAtMs = this.options.readMonotonicMs();
    const own = this.options.identity.incarnation;
    // Without state of this entry the agent cannot prove what it received.
    if (hello.knownEntryIncarnation !== own) this.endLostTasks(known);
    this.returnUnreceived(known, hello.highestSequence);
    known.change(PresenceEvent.RECONNECT);
    return known;
  }

  private replaceIncarnations(agent: ProcessIdentity): void {
    for (const session of [...this.agents.values()]) {
      if (session.identity.id !== agent.id) continue;
      session.change(PresenceEvent.REPLACED);
    }
  }

  private openSession(
    stream: AgentStreamHandle,
    hello: AgentHello,
  ): AgentSession {
    const {incarnation, dataCentre} = hello.agent;
    const {options} = this;
    const nowMs = options.readMonotonicMs();
    const session = AgentSession.create(hello, stream, nowMs, {
      entryIncarnation: options.identity.incarnation,
      startNamedTimer: (_name, fire) =>
        options.startTimer(options.returnLimitMs, fire),
      fire: event => options.postTimer(incarnation, event),
      perform: action => this.perform(incarnation, action),
    });
    this.agents.set(incarnation, session);
    options.agentLoads.addAgent(incarnation, dataCentre);
    options.reportAgent(PresenceState.CONNECTED, hello.agent);
    return session;
  }

  private perform(incarnation: string, action: PresenceAction): void {
    const session = this.agents.get(incarnation);
    if (session === undefined) return;
    const {agentLoads, reportAgent} = this.options;
    const {identity} = session;
    switch (action) {
      case PresenceAction.PAUSE_SENDING:
        agentLoads.pauseAgent(incarnation);
        reportAgent(PresenceState.DISCONNECTED, identity);
        break;
      case PresenceAction.RECONCILE:
        agentLoads.addAgent(incarnation, identity.dataCentre);
        reportAgent(PresenceState.CONNECTED, identity);
        break;
      case PresenceAction.LOSE_TASKS:
        this.agents.delete(incarnation);
        agentLoads.removeAgent(incarnation);
        this.endLostTasks(session);
        session.stream.close();
        reportAgent(PresenceState.LOST, identity);
        break;
    }
  }

  private returnUnreceived(
    session: AgentSession,
    highestSequence: number,
  ): void {
    for (const sent of session.takeUnreceived(highestSequence)) {
      this.options.counters.ordersReturned += 1;
      this.endTask(session, sent, TaskEnd.NOT_STARTED);
    }
  }

  private endLostTasks(session: AgentSession): void {
    for (const sent of session.takeAll()) {
      this.endTask(session, sent, TaskEnd.UNKNOWN);
    }
  }

  private endTask(session: AgentSession, sent: SentTask, end: TaskEnd): void {
    this.options.endTask(sent.task, session.identity.incarnation, {
      sequence: sent.sequence,
      end,
      reason: NotStartedReason.NONE,
      result: NO_BYTES,
      runMs: 0,
      queuedMs: 0,
      targetStatus: 0,
    });
  }

  private handleReport(session: AgentSession, report: TaskReport): void {
    session.addAcknowledgement(report.sequence);
    this.scheduleFlush();
    const sent = session.sent.get(report.sequence);
    if (sent === undefined) return;
    session.sent.delete(report.sequence);
    if (report.end === TaskEnd.NOT_STARTED) {
      this.options.counters.ordersReturned += 1;
    }
    this.options.endTask(sent.task, session.identity.incarnation, report);
  }

  private applyLoad(session: AgentSession, load: LoadReport): void {
    session.load = load;
    const isUsable =
      load.target === TargetCondition.PRESENT &&
      load.isPermitted &&
      !load.isLeaving &&
      session.state === PresenceState.CONNECTED;
    this.options.agentLoads.applyReport(
      session.identity.incarnation,
      {
        isUsable,
        targetInstance: load.targetInstance,
        slots: load.slots,
        queueLimit: load.queueLimit,
        running: load.running,
        queued: load.queued,
        unreported: session.countUnreported(),
      },
      this.options.readMonotonicMs(),
    );
  }

  // Batches what one turn of the event loop produced into one frame per agent.
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.options.defer(() => this.flush());
  }

  private flush(): void {
    this.isFlushScheduled = false;
    for (const session of this.agents.values()) {
      if (!session.hasOutput) continue;
      this.options.counters.framesSent += 1;
      session.flush();
    }
  }
}
