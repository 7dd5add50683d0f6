/** The agents of an entry: their sessions, reports and ended runs. */
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import {
  AgentFrameKind,
  EntryFrameKind,
  TargetPhase,
} from '../../core/work_frames.js';
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import {computeSpeeds} from '../../decisions/fleet_speeds.js';
import type {FleetSpeeds} from '../../decisions/fleet_speeds.js';
import type {PlacementTarget} from '../../decisions/place_task.js';
import type {FrameStream} from '../link/frame_stream.js';
import type {AgentFleetOptions} from './agent_fleet_options.js';
import {AgentSession} from './agent_session.js';
import {PeerBacklogTable} from './peer_backlog_table.js';
import {RUN_EXPIRY_MS} from './run_expiry.js';
import {RunStatusChange} from './run_status_change.js';
import type {AgentHello} from './agent_session.js';
import {AgentAction, AgentEvent, AgentState} from './work_charts.js';

/** Time in milliseconds without a ping after which an agent is disconnected. */
const PING_TIMEOUT_MS = 500;

/** Time in milliseconds without a ping after which an agent gets no new task. */
const PLACEMENT_PING_TIMEOUT_MS = 300;

const MILLI_PER_CORE = 1000;

/** Assumed run time in milliseconds of a queued task, of which only the need is known. */
const TYPICAL_RUN_MS = 250;

/** Time in milliseconds without a ping after which an expired session is removed. */
const REMOVE_AFTER_MS = 30_000;

/** Sessions of agents that have sent a hello. Owned by the scheduler. */
export class AgentFleet {
  private readonly sessions = new Map<string, AgentSession>();
  /** Backlogs of the other entries. */
  readonly peerBacklogs = PeerBacklogTable.create();
  private latestSpeeds = computeSpeeds([]);

  private constructor(private readonly options: AgentFleetOptions) {}

  /** Creates a fleet without agents. */
  static create(options: AgentFleetOptions): AgentFleet {
    return new AgentFleet(options);
  }

  /** Lists all sessions, including disconnected ones. */
  listSessions(): AgentSession[] {
    return [...this.sessions.values()];
  }

  /** Finds a session by the incarnation of its agent. */
  find(id: string): AgentSession | undefined {
    return this.sessions.get(id);
  }

  /** Lists the sessions of agents that may get tasks of a service now. */
  listUsable(
    service: string,
    dataCentresOut: readonly string[],
    nowMs: number,
  ): AgentSession[] {
    return this.listSessions().filter(
      session =>
        session.state === AgentState.CONNECTED &&
        session.report.phase === TargetPhase.READY &&
        session.report.service === service &&
        nowMs - session.lastPingAtMs <= PLACEMENT_PING_TIMEOUT_MS &&
        !dataCentresOut.includes(session.hello.dataCentre),
    );
  }

  /** Speeds of the targets, as of the last check. */
  get speeds(): FleetSpeeds {
    return this.latestSpeeds;
  }

  /** Describes targets for placement; slowness is relative to a typical target. */
  describeTargets(sessions: readonly AgentSession[]): PlacementTarget[] {
    return sessions.map(session =>
      session.describeTarget(this.latestSpeeds.typical),
    );
  }

  /** Sums the work in the agents' queues, in core-milliseconds. */
  sumQueued(): number {
    const millicores = this.listSessions().reduce(
      (sum, session) => sum + Math.max(0, -session.free.cpuMilli),
      0,
    );
    return (millicores / MILLI_PER_CORE) * TYPICAL_RUN_MS;
  }

  /** Handles the frames of one message. */
  handleFrames(
    stream: FrameStream<EntryFrame>,
    frames: readonly AgentFrame[],
    nowMs: number,
  ): void {
    for (const frame of frames) this.handleFrame(stream, frame, nowMs);
  }

  /** Disconnects the agent whose stream has ended. */
  handleStreamEnd(stream: FrameStream<EntryFrame>, detail: string): void {
    const session = this.findByStream(stream);
    if (session !== undefined) this.disconnect(session, detail);
  }

  private measureSpeeds(): void {
    const ready = this.listSessions().filter(
      session =>
        session.state === AgentState.CONNECTED &&
        session.report.phase === TargetPhase.READY,
    );
    this.latestSpeeds = computeSpeeds(
      ready.map(session => session.report.slowness),
    );
  }

  /** Disconnects agents that send no pings, and later expires and removes them. */
  check(nowMs: number): void {
    this.measureSpeeds();
    for (const session of this.listSessions()) {
      const idleMs = nowMs - session.lastPingAtMs;
      if (session.state === AgentState.CONNECTED && idleMs > PING_TIMEOUT_MS) {
        session.closeStream();
        this.disconnect(session, 'no pings');
      }
      if (session.state === AgentState.DISCONNECTED && idleMs > RUN_EXPIRY_MS) {
        this.applyEvent(session, AgentEvent.RUNS_EXPIRED);
      }
      if (session.state === AgentState.EXPIRED && idleMs > REMOVE_AFTER_MS) {
        this.applyEvent(session, AgentEvent.REMOVE);
      }
      if (session.state === AgentState.ENDED) this.sessions.delete(session.id);
    }
  }

  /** Sends the configuration to all agents. */
  publishConfiguration(configuration: FleetConfiguration): void {
    for (const session of this.sessions.values()) {
      session.send({kind: EntryFrameKind.CONFIGURATION, configuration});
    }
  }

  /** Sends the frames that are queued for the agents. */
  flush(): void {
    for (const session of this.sessions.values()) session.flush();
  }

  private handleFrame(
    stream: FrameStream<EntryFrame>,
    frame: AgentFrame,
    nowMs: number,
  ): void {
    if (frame.kind === AgentFrameKind.HELLO) {
      this.handleHello(stream, frame, nowMs);
      return;
    }
    const session = this.findByStream(stream);
    if (session === undefined) return;
    switch (frame.kind) {
      case AgentFrameKind.PING:
        session.lastPingAtMs = nowMs;
        this.peerBacklogs.update(frame.backlogs, nowMs);
        session.send({
          kind: EntryFrameKind.PONG,
          sentAtMs: frame.sentAtMs,
          ...this.options.describeBacklog(),
        });
        break;
      case AgentFrameKind.REPORT:
        this.handleReport(session, frame);
        break;
      case AgentFrameKind.END: {
        const {task, run} = frame.report;
        this.options.handleRunEnd(session, frame.report);
        session.send({kind: EntryFrameKind.ACKNOWLEDGE, task, run});
        break;
      }
      case AgentFrameKind.CONFIGURATION:
        this.options.handleConfiguration(frame.configuration);
        break;
    }
  }

  private handleReport(
    session: AgentSession,
    frame: Extract<AgentFrame, {kind: AgentFrameKind.REPORT}>,
  ): void {
    session.applyReport(frame.report);
    // A later incarnation that controls the target proves that the runs of
    // earlier ones are over.
    if (frame.report.phase !== TargetPhase.ABSENT) this.replaceOlder(session);
  }

  private replaceOlder(current: AgentSession): void {
    for (const session of this.listSessions()) {
      if (session === current || session.hello.agent !== current.hello.agent) {
        continue;
      }
      if (session.lastPingAtMs > current.lastPingAtMs) continue;
      this.applyEvent(session, AgentEvent.REPLACED);
      this.sessions.delete(session.id);
    }
  }

  private handleHello(
    stream: FrameStream<EntryFrame>,
    hello: AgentHello,
    nowMs: number,
  ): void {
    const existing = this.sessions.get(hello.life);
    const session = existing ?? AgentSession.create(hello, stream, nowMs);
    this.sessions.set(hello.life, session);
    if (existing !== undefined) {
      existing.replaceStream(stream);
      existing.lastPingAtMs = nowMs;
    }
    this.options.log(FleetEvent.AGENT_CONNECTED, 'An agent has connected.', {
      agent: hello.agent,
      agentLife: hello.life,
      held: hello.held.length,
      ends: hello.ends.length,
    });
    this.resolveTasks(session, hello);
    if (existing !== undefined && existing.state !== AgentState.CONNECTED) {
      this.applyEvent(existing, AgentEvent.RECONNECT);
    }
    const configuration = this.options.getConfiguration();
    if (configuration !== undefined) {
      session.send({kind: EntryFrameKind.CONFIGURATION, configuration});
    }
  }

  /** Resolves each task by the agent's hello: held, ended, or never received. */
  private resolveTasks(session: AgentSession, hello: AgentHello): void {
    for (const report of hello.ends) {
      this.options.handleRunEnd(session, report);
      const {task, run} = report;
      session.send({kind: EntryFrameKind.ACKNOWLEDGE, task, run});
    }
    const held = new Map(hello.held.map(heldRun => [heldRun.task, heldRun]));
    for (const task of [...session.tasks.values()]) {
      const heldRun = held.get(task.name);
      const isHeld = heldRun !== undefined && heldRun.run === task.run;
      this.options.handleRunStatus(
        task,
        isHeld ? RunStatusChange.STILL_HELD : RunStatusChange.NOT_HELD,
      );
    }
    for (const {task, run} of hello.held) {
      if (session.tasks.get(task)?.run === run) continue;
      session.send({kind: EntryFrameKind.STOP, task, run});
    }
  }

  private findByStream(
    stream: FrameStream<EntryFrame>,
  ): AgentSession | undefined {
    return this.listSessions().find(session => session.isUsing(stream));
  }

  private disconnect(session: AgentSession, detail: string): void {
    if (session.state !== AgentState.CONNECTED) return;
    this.options.log(FleetEvent.AGENT_DISCONNECTED, `Agent lost: ${detail}.`, {
      agent: session.hello.agent,
      agentLife: session.id,
      runs: session.tasks.size,
    });
    this.applyEvent(session, AgentEvent.DISCONNECT);
  }

  private applyEvent(session: AgentSession, event: AgentEvent): void {
    for (const action of session.applyEvent(event)) {
      switch (action) {
        case AgentAction.MARK_RUNS_UNCERTAIN:
          this.notifyTasks(session, RunStatusChange.AGENT_UNREACHABLE);
          break;
        case AgentAction.REQUEUE_RUNS:
          this.notifyTasks(session, RunStatusChange.NOT_HELD);
          break;
      }
    }
  }

  private notifyTasks(session: AgentSession, change: RunStatusChange): void {
    for (const task of [...session.tasks.values()]) {
      this.options.handleRunStatus(task, change);
    }
  }
}
