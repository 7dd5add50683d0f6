/** The agents of an entry: their sessions, reports and ended runs. */
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import {TargetPhase} from '../../core/work_frames.js';
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import {computeSpeeds} from '../../decisions/fleet_speeds.js';
import type {FleetSpeeds} from '../../decisions/fleet_speeds.js';
import type {PlacementTarget} from '../../decisions/place_task.js';
import {SubsetSize} from '../../decisions/subset_size.js';
import type {FrameStream} from '../link/frame_stream.js';
import type {AgentFleetOptions} from './agent_fleet_options.js';
import {AgentFrameHandler} from './agent_frame_handler.js';
import type {AgentSession} from './agent_session.js';
import {RUN_EXPIRY_MS} from './run_expiry.js';
import {logRunsOver, RunStatusChange} from './run_status_change.js';
import type {RunOverProof} from './run_status_change.js';
import {SessionIndex} from './session_index.js';
import {AgentAction, AgentEvent, AgentState} from './work_charts.js';

/** Time in milliseconds without a message after which an agent is disconnected. */
const RECEIVE_TIMEOUT_MS = 600;

/** Time in milliseconds without a message after which an agent gets no new task. */
const PLACEMENT_TIMEOUT_MS = 350;

const MILLI_PER_CORE = 1000;

/** Assumed run time in milliseconds of a queued task, of which only the need is known. */
const TYPICAL_RUN_MS = 250;

/** Time in milliseconds without a message after which an expired session is removed. */
const REMOVE_AFTER_MS = 30_000;

/** Sessions of agents that have sent a hello. Owned by the scheduler. */
export class AgentFleet {
  private readonly sessions = SessionIndex.create();
  /** Sessions with frames to be sent. */
  private readonly unflushed = new Set<AgentSession>();
  private readonly handler: AgentFrameHandler;
  private readonly subsetSize = SubsetSize.create();
  private latestSpeeds = computeSpeeds([]);
  private latestPeerBacklog = 0;
  private latestTargets = 0;

  private constructor(private readonly options: AgentFleetOptions) {
    this.handler = AgentFrameHandler.create({
      ...options,
      sessions: this.sessions,
      requestFlush: session => this.unflushed.add(session),
      applyEvent: (session, event, nowMs) =>
        this.applyEvent(session, event, nowMs),
      remove: session => this.remove(session),
      getLinksPerAgent: () => this.subsetSize.value,
    });
  }

  /** Creates a fleet without agents. */
  static create(options: AgentFleetOptions): AgentFleet {
    return new AgentFleet(options);
  }

  /** Lists all sessions, including disconnected ones. */
  listSessions(): AgentSession[] {
    return [...this.sessions.list()];
  }

  /** Whether any agent is connected. */
  get isConnected(): boolean {
    for (const {state} of this.sessions.list()) {
      if (state === AgentState.CONNECTED) return true;
    }
    return false;
  }

  /** Finds a session by the incarnation of its agent. */
  find(id: string): AgentSession | undefined {
    return this.sessions.find(id);
  }

  /** Lists the sessions of agents that may get tasks of a service now. */
  listUsable(
    service: string,
    dataCentresOut: readonly string[],
    nowMs: number,
  ): AgentSession[] {
    const usable: AgentSession[] = [];
    for (const session of this.sessions.list()) {
      const {report} = session;
      const isUsable =
        session.state === AgentState.CONNECTED &&
        report.phase === TargetPhase.READY &&
        report.service === service &&
        nowMs - session.lastReceivedAtMs <= PLACEMENT_TIMEOUT_MS &&
        !dataCentresOut.includes(session.hello.dataCentre);
      if (isUsable) usable.push(session);
    }
    return usable;
  }

  /** Lists the names of all agents of a service, whether their targets are up or not. */
  listAgents(service: string): string[] {
    const names = this.listSessions()
      .filter(({report}) => report.service === service)
      .map(({hello}) => hello.agent);
    return [...new Set(names)];
  }

  /**
   * Backlog of the other entries for the targets of this one, in
   * core-milliseconds, as of the last check.
   */
  get peerBacklog(): number {
    return this.latestPeerBacklog;
  }

  /** Number of connected targets that are ready, as of the last check. */
  get targets(): number {
    return this.latestTargets;
  }

  /** Speeds of the targets, as of the last check. */
  get speeds(): FleetSpeeds {
    return this.latestSpeeds;
  }

  /** Describes targets for placement; slowness is relative to a typical target. */
  describeTargets(
    sessions: readonly AgentSession[],
    nowMs: number,
  ): PlacementTarget[] {
    return sessions.map(session =>
      session.describeTarget(this.latestSpeeds.typical, nowMs),
    );
  }

  /** Sums the work in the agents' queues, in core-milliseconds. */
  sumQueued(): number {
    let millicores = 0;
    for (const session of this.sessions.list()) {
      millicores += Math.max(0, -session.free.cpuMilli);
    }
    return (millicores / MILLI_PER_CORE) * TYPICAL_RUN_MS;
  }

  /** Handles the frames of one message. */
  handleFrames(
    stream: FrameStream<EntryFrame>,
    frames: readonly AgentFrame[],
    nowMs: number,
  ): void {
    for (const frame of frames) this.handler.handle(stream, frame, nowMs);
  }

  /** Disconnects the agent whose stream has ended. */
  handleStreamEnd(
    stream: FrameStream<EntryFrame>,
    detail: string,
    nowMs: number,
  ): void {
    const session = this.sessions.findByStream(stream);
    if (session !== undefined) this.disconnect(session, detail, nowMs);
  }

  private measureFleet(nowMs: number): void {
    const slownesses: number[] = [];
    let peerBacklog = 0;
    let pinging = 0;
    for (const session of this.sessions.list()) {
      if (session.state !== AgentState.CONNECTED) continue;
      const {report} = session;
      if (report.phase === TargetPhase.READY) slownesses.push(report.slowness);
      if (nowMs - session.lastReceivedAtMs > PLACEMENT_TIMEOUT_MS) continue;
      peerBacklog += session.peerBacklog;
      pinging += 1;
    }
    this.latestTargets = slownesses.length;
    this.latestSpeeds = computeSpeeds(slownesses);
    // Each agent knows the entries that compete for its own target.
    this.latestPeerBacklog = peerBacklog / Math.max(1, pinging);
  }

  /** Disconnects agents that send no pings, and later expires and removes them. */
  check(nowMs: number): void {
    this.measureFleet(nowMs);
    this.handler.requestConfiguration(nowMs);
    for (const session of this.listSessions()) {
      const idleMs = nowMs - session.lastReceivedAtMs;
      if (
        session.state === AgentState.CONNECTED &&
        idleMs > RECEIVE_TIMEOUT_MS
      ) {
        session.closeStream();
        this.disconnect(session, 'no messages', nowMs);
      }
      if (session.state === AgentState.DISCONNECTED && idleMs > RUN_EXPIRY_MS) {
        this.applyEvent(session, AgentEvent.RUNS_EXPIRED, nowMs);
      }
      if (session.state === AgentState.EXPIRED && idleMs > REMOVE_AFTER_MS) {
        this.applyEvent(session, AgentEvent.REMOVE, nowMs);
      }
      if (session.state === AgentState.ENDED) this.remove(session);
    }
  }

  /** Sends the summary of a configuration to all agents that lack it. */
  publishConfiguration(configuration: FleetConfiguration): void {
    for (const session of this.sessions.list()) {
      this.handler.sendSummary(session, configuration);
    }
  }

  /** Sends each agent the addresses of the entries that it may link to. */
  publishEntries(): void {
    for (const session of this.sessions.list()) {
      this.handler.sendEntries(session);
    }
  }

  /** Tells the agents to hold more or fewer links if this entry has too few. */
  checkSubset(): void {
    let agents = 0;
    let openLinks = 0;
    for (const {state, links} of this.sessions.list()) {
      if (state !== AgentState.CONNECTED) continue;
      agents += 1;
      openLinks += links;
    }
    if (!this.subsetSize.update(agents, openLinks)) return;
    this.options.log(
      FleetEvent.SUBSET_CHANGED,
      'The agents need another number of links.',
      {links: this.subsetSize.value, agents, openLinks},
    );
    this.publishEntries();
  }

  /** Sends the frames that are queued for the agents. */
  flush(): void {
    for (const session of this.unflushed) session.flush();
    this.unflushed.clear();
  }

  private remove(session: AgentSession): void {
    this.sessions.remove(session, session.currentStream);
    this.unflushed.delete(session);
  }

  private disconnect(
    session: AgentSession,
    detail: string,
    nowMs: number,
  ): void {
    if (session.state !== AgentState.CONNECTED) return;
    this.options.log(FleetEvent.AGENT_DISCONNECTED, `Agent lost: ${detail}.`, {
      agent: session.hello.agent,
      agentLife: session.id,
      runs: session.tasks.size,
    });
    this.applyEvent(session, AgentEvent.DISCONNECT, nowMs);
  }

  private applyEvent(
    session: AgentSession,
    event: AgentEvent,
    nowMs: number,
  ): void {
    for (const action of session.applyEvent(event)) {
      switch (action) {
        case AgentAction.MARK_RUNS_UNCERTAIN:
          this.notifyTasks(session, RunStatusChange.AGENT_UNREACHABLE);
          break;
        case AgentAction.REQUEUE_RUNS:
          this.endRuns(
            session,
            event === AgentEvent.REPLACED
              ? RunStatusChange.REPLACED
              : RunStatusChange.EXPIRED,
            nowMs,
          );
          break;
      }
    }
  }

  private endRuns(
    session: AgentSession,
    proof: RunOverProof,
    nowMs: number,
  ): void {
    const {log} = this.options;
    logRunsOver(log, session, proof, session.tasks.size, nowMs);
    this.notifyTasks(session, proof);
  }

  private notifyTasks(session: AgentSession, change: RunStatusChange): void {
    for (const task of [...session.tasks.values()]) {
      this.options.handleRunStatus(task, change);
    }
  }
}
