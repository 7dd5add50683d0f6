/** Handles the messages of the agents linked to an entry. */
import {LINKS_PER_AGENT} from '../../decisions/choose_links.js';
import {ConfigurationRequests} from '../../decisions/configuration_requests.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import {
  AgentFrameKind,
  EntryFrameKind,
  TargetPhase,
} from '../../core/work_frames.js';
import type {
  AgentFrame,
  EntryFrame,
  TargetDescription,
} from '../../core/work_frames.js';
import type {FrameStream} from '../link/frame_stream.js';
import type {AgentFleetOptions} from './agent_fleet_options.js';
import type {ActiveTask} from './active_job.js';
import {AgentSession} from './agent_session.js';
import type {AgentHello} from './agent_session.js';
import {logRunsOver, RunStatusChange} from './run_status_change.js';
import type {SessionIndex} from './session_index.js';
import {AgentEvent, AgentState} from './work_charts.js';

type AgentPing = Extract<AgentFrame, {kind: AgentFrameKind.PING}>;

/**
 * Time in milliseconds in which the body of a newer configuration is expected
 * from the store before an agent is asked for it.
 */
const BODY_PATIENCE_MS = 150;

/**
 * Number of sessions, with those of agents that were lost in the last 30 s. Each hello
 * of a new life makes one, and any host can send one.
 */
const SESSIONS_AT_MOST = 4096;

/** Dependencies of a frame handler. */
export interface AgentFrameHandlerOptions extends AgentFleetOptions {
  readonly sessions: SessionIndex;
  /** Called with a session that has frames to be sent. */
  readonly requestFlush: (session: AgentSession) => void;
  readonly applyEvent: (
    session: AgentSession,
    event: AgentEvent,
    nowMs: number,
  ) => void;
  readonly remove: (session: AgentSession) => void;
  /** Returns the number of links that each agent needs. */
  readonly getLinksPerAgent: () => number;
}

/** Applies the agents' frames to their sessions. Owned by the agent fleet. */
export class AgentFrameHandler {
  private readonly sessions: SessionIndex;
  private readonly requests = ConfigurationRequests.create(BODY_PATIENCE_MS);

  private constructor(private readonly options: AgentFrameHandlerOptions) {
    this.sessions = options.sessions;
  }

  /** Creates a handler that has requested no configuration. */
  static create(options: AgentFrameHandlerOptions): AgentFrameHandler {
    return new AgentFrameHandler(options);
  }

  /** Handles one frame. */
  handle(
    stream: FrameStream<EntryFrame>,
    frame: AgentFrame,
    nowMs: number,
  ): void {
    if (frame.kind === AgentFrameKind.HELLO) {
      this.handleHello(stream, frame, nowMs);
      return;
    }
    const session = this.sessions.findByStream(stream);
    if (session === undefined) return;
    session.lastReceivedAtMs = nowMs;
    switch (frame.kind) {
      case AgentFrameKind.PING:
        this.handlePing(session, frame, nowMs);
        break;
      case AgentFrameKind.TARGET:
        this.handleTarget(session, frame.target, nowMs);
        break;
      case AgentFrameKind.REPORT:
        session.applyReport(frame.report, nowMs);
        break;
      case AgentFrameKind.END: {
        const {task, run} = frame.report;
        this.options.handleRunEnd(session, frame.report);
        // The agent only has to forget the end, which is not urgent.
        session.sendLater({kind: EntryFrameKind.ACKNOWLEDGE, task, run});
        break;
      }
      case AgentFrameKind.CRASH:
        this.options.handleCrash(frame.crash, session.hello.life);
        break;
      case AgentFrameKind.CONFIGURATION_REQUEST: {
        const configuration = this.options.getConfiguration();
        if (configuration === undefined) break;
        if (configuration.revision < frame.revision) break;
        session.send({kind: EntryFrameKind.CONFIGURATION, configuration});
        break;
      }
      case AgentFrameKind.CONFIGURATION:
        this.options.handleConfiguration(frame.configuration);
        break;
    }
  }

  private handlePing(
    session: AgentSession,
    {sentAtMs, peerBacklog, revision, links = LINKS_PER_AGENT}: AgentPing,
    nowMs: number,
  ): void {
    session.peerBacklog = peerBacklog;
    session.revision = revision;
    session.links = links;
    const configuration = this.options.getConfiguration();
    const ownRevision = configuration?.revision ?? 0;
    if (revision > ownRevision) this.requests.add(revision, nowMs);
    if (configuration !== undefined) this.sendSummary(session, configuration);
    session.send({
      kind: EntryFrameKind.PONG,
      sentAtMs,
      backlog: this.options.getBacklog(),
      revision: ownRevision,
    });
  }

  private handleTarget(
    session: AgentSession,
    target: TargetDescription,
    nowMs: number,
  ): void {
    session.applyTarget(target);
    // A later incarnation that controls the target proves that the runs of
    // earlier ones are over.
    if (target.phase !== TargetPhase.ABSENT) this.replaceOlder(session, nowMs);
  }

  private replaceOlder(current: AgentSession, nowMs: number): void {
    for (const session of this.sessions.listOf(current.hello.agent)) {
      if (session === current) continue;
      if (isReplacedBy(session, current)) this.replace(session, nowMs);
      else if (isReplacedBy(current, session)) this.replace(current, nowMs);
    }
  }

  private replace(session: AgentSession, nowMs: number): void {
    this.options.applyEvent(session, AgentEvent.REPLACED, nowMs);
    session.closeStream();
    this.options.remove(session);
  }

  /** Sends the summary of a configuration unless the agent knows it. */
  sendSummary(
    session: AgentSession,
    {revision, dataCentresOut}: FleetConfiguration,
  ): void {
    if (session.revision >= revision) return;
    session.send({kind: EntryFrameKind.SUMMARY, revision, dataCentresOut});
  }

  /** Sends an agent the entries that it may link to, and how many it needs. */
  sendEntries(session: AgentSession): void {
    const {listEntriesFor, getLinksPerAgent} = this.options;
    const entries = listEntriesFor(session.hello.agent);
    const links = getLinksPerAgent();
    session.send({kind: EntryFrameKind.ENTRIES, entries, links});
  }

  /** Requests a newer configuration from an agent if the store does not send it. */
  requestConfiguration(nowMs: number): void {
    const revision = this.options.getConfiguration()?.revision ?? 0;
    if (this.requests.revision <= revision) return;
    const holder = this.requests.choose(revision, this.listConnected(), nowMs);
    const session = holder && this.sessions.find(holder.id);
    if (session === undefined) return;
    const kind = EntryFrameKind.CONFIGURATION_REQUEST;
    session.send({kind, revision: this.requests.revision});
    this.options.log(
      FleetEvent.CONFIGURATION_REQUESTED,
      'A newer configuration is requested through an agent.',
      {agent: session.hello.agent, revision: this.requests.revision},
    );
  }

  private listConnected(): AgentSession[] {
    return [...this.sessions.list()].filter(
      ({state}) => state === AgentState.CONNECTED,
    );
  }

  private handleHello(
    stream: FrameStream<EntryFrame>,
    hello: AgentHello,
    nowMs: number,
  ): void {
    const existing = this.sessions.find(hello.life);
    const isTooMany =
      existing === undefined && this.sessions.size >= SESSIONS_AT_MOST;
    if (isTooMany || existing?.isOutdated(hello) === true) {
      this.rejectHello(stream, hello);
      return;
    }
    const session =
      existing ??
      AgentSession.create(hello, stream, nowMs, this.options.requestFlush);
    if (existing === undefined) {
      this.sessions.add(session, stream);
    } else {
      this.sessions.replaceStream(existing, existing.currentStream, stream);
      existing.replaceStream(stream, hello);
      existing.lastReceivedAtMs = nowMs;
    }
    this.options.log(FleetEvent.AGENT_CONNECTED, 'An agent has connected.', {
      agent: hello.agent,
      agentLife: hello.life,
      held: hello.held.length,
      ends: hello.ends.length,
      through: hello.through,
      hello: hello.number,
    });
    for (const crash of hello.crashes ?? []) {
      this.options.handleCrash(crash, hello.life);
    }
    this.resolveTasks(session, hello, nowMs);
    if (existing !== undefined && existing.state !== AgentState.CONNECTED) {
      this.options.applyEvent(existing, AgentEvent.RECONNECT, nowMs);
    }
    // The summary follows with the answer to the agent's first ping.
    this.sendEntries(session);
  }

  private rejectHello(
    stream: FrameStream<EntryFrame>,
    {agent, life, number}: AgentHello,
  ): void {
    const text = 'A hello is out of date, or of an agent too many.';
    this.options.log(FleetEvent.HELLO_REJECTED, text, {
      agent,
      agentLife: life,
      hello: number,
    });
    stream.close();
  }

  /** Resolves each task by the agent's hello: held, ended, or never received. */
  private resolveTasks(
    session: AgentSession,
    hello: AgentHello,
    nowMs: number,
  ): void {
    for (const report of hello.ends) {
      this.options.handleRunEnd(session, report);
      const {task, run} = report;
      session.send({kind: EntryFrameKind.ACKNOWLEDGE, task, run});
    }
    const held = new Map(hello.held.map(heldRun => [heldRun.task, heldRun]));
    const isHeld = ({name, run}: ActiveTask) => held.get(name)?.run === run;
    const tasks = [...session.tasks.values()];
    const proof = RunStatusChange.NOT_LISTED;
    const over = tasks.filter(task => !isHeld(task)).length;
    logRunsOver(this.options.log, session, proof, over, nowMs);
    for (const task of tasks) {
      const change = isHeld(task) ? RunStatusChange.STILL_HELD : proof;
      this.options.handleRunStatus(task, change);
    }
    for (const {task, run} of hello.held) {
      if (session.tasks.get(task)?.run === run) continue;
      session.send({kind: EntryFrameKind.STOP, task, run});
    }
  }
}

/**
 * Returns whether a life of an agent is over because another one controls the
 * target. Arrival proves nothing: what a life has sent may arrive after its end.
 */
function isReplacedBy(session: AgentSession, other: AgentSession): boolean {
  const {token} = session.report;
  const {token: otherToken, phase} = other.report;
  if (phase === TargetPhase.ABSENT) return false;
  if (token === undefined || otherToken === undefined) {
    // Earlier versions send no token.
    return session.lastReceivedAtMs <= other.lastReceivedAtMs;
  }
  return token > 0 && otherToken > token;
}
