/** The agents of an entry: greetings, silence, reports, ends. */
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

/** Silence in milliseconds after which an agent counts as out of reach. */
const UNREACHABLE_AFTER_MS = 500;

/** Silence in milliseconds after which an agent gets no new task. */
const MAX_PLACEMENT_SILENCE_MS = 300;

/** Thousandths in a core. */
const MILLICORES_PER_CORE = 1000;

/** Run time in milliseconds of a task in an agent's queue, of which only the need is known. */
const TYPICAL_RUN_MS = 250;

/** Time in milliseconds after which a lapsed agent is forgotten. */
const REMOVE_AFTER_MS = 30_000;

/** Keeps the lives of agents that have greeted. Owned by the scheduler. */
export class AgentFleet {
  private readonly views = new Map<string, AgentSession>();
  /** What waits at the other entries. */
  readonly peerBacklogs = PeerBacklogTable.create();
  private latestSpeeds = computeSpeeds([]);

  private constructor(private readonly options: AgentFleetOptions) {}

  /** Creates a fleet without agents. */
  static create(options: AgentFleetOptions): AgentFleet {
    return new AgentFleet(options);
  }

  /** Lists all lives known. */
  listSessions(): AgentSession[] {
    return [...this.views.values()];
  }

  /** Finds a life of an agent. */
  find(life: string): AgentSession | undefined {
    return this.views.get(life);
  }

  /** Lists the agents that may get tasks of a service now. */
  listUsable(
    service: string,
    dataCentresOut: readonly string[],
    nowMs: number,
  ): AgentSession[] {
    return this.listSessions().filter(
      view =>
        view.state === AgentState.CONNECTED &&
        view.report.phase === TargetPhase.READY &&
        view.report.service === service &&
        nowMs - view.lastHeardAtMs <= MAX_PLACEMENT_SILENCE_MS &&
        !dataCentresOut.includes(view.greeting.dataCentre),
    );
  }

  /** How fast the targets are, as of the last check. */
  get speeds(): FleetSpeeds {
    return this.latestSpeeds;
  }

  /** Shows the targets to placement, their slowness against a typical one. */
  describeTargets(views: readonly AgentSession[]): PlacementTarget[] {
    return views.map(view => view.describeTarget(this.latestSpeeds.typical));
  }

  /** Work that waits in the agents' queues, in core-milliseconds. */
  sumQueued(): number {
    const milli = this.listSessions().reduce(
      (sum, view) => sum + Math.max(0, -view.free.cpuMilli),
      0,
    );
    return (milli / MILLICORES_PER_CORE) * TYPICAL_RUN_MS;
  }

  /** Takes the frames of one message. */
  handleFrames(
    stream: FrameStream<EntryFrame>,
    frames: readonly AgentFrame[],
    nowMs: number,
  ): void {
    for (const frame of frames) this.handleFrame(stream, frame, nowMs);
  }

  /** Takes the end of a stream. */
  handleStreamEnd(stream: FrameStream<EntryFrame>, detail: string): void {
    const view = this.findByStream(stream);
    if (view !== undefined) this.disconnect(view, detail);
  }

  private measureSpeeds(): void {
    const present = this.listSessions().filter(
      view =>
        view.state === AgentState.CONNECTED &&
        view.report.phase === TargetPhase.READY,
    );
    this.latestSpeeds = computeSpeeds(
      present.map(view => view.report.slowness),
    );
  }

  /** Treats silent agents as out of reach, and settles those long gone. */
  check(nowMs: number): void {
    this.measureSpeeds();
    for (const view of this.listSessions()) {
      const silentMs = nowMs - view.lastHeardAtMs;
      if (
        view.state === AgentState.CONNECTED &&
        silentMs > UNREACHABLE_AFTER_MS
      ) {
        view.closeStream();
        this.disconnect(view, 'silent');
      }
      if (view.state === AgentState.DISCONNECTED && silentMs > RUN_EXPIRY_MS) {
        this.applyEvent(view, AgentEvent.RUNS_EXPIRED);
      }
      if (view.state === AgentState.EXPIRED && silentMs > REMOVE_AFTER_MS) {
        this.applyEvent(view, AgentEvent.REMOVE);
      }
      if (view.state === AgentState.REMOVED)
        this.views.delete(view.incarnation);
    }
  }

  /** Tells all agents the configuration. */
  publishConfiguration(configuration: FleetConfiguration): void {
    for (const view of this.views.values()) {
      view.send({kind: EntryFrameKind.CONFIGURATION, configuration});
    }
  }

  /** Sends what is queued for the agents. */
  flush(): void {
    for (const view of this.views.values()) view.flush();
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
    const view = this.findByStream(stream);
    if (view === undefined) return;
    switch (frame.kind) {
      case AgentFrameKind.PING:
        view.lastHeardAtMs = nowMs;
        this.peerBacklogs.update(frame.backlogs, nowMs);
        view.send({
          kind: EntryFrameKind.PONG,
          sentAtMs: frame.sentAtMs,
          ...this.options.describeBacklog(),
        });
        break;
      case AgentFrameKind.REPORT:
        this.handleReport(view, frame);
        break;
      case AgentFrameKind.END: {
        const {task, run} = frame.report;
        this.options.handleRunEnd(view, frame.report);
        view.send({kind: EntryFrameKind.ACKNOWLEDGE, task, run});
        break;
      }
      case AgentFrameKind.CONFIGURATION:
        this.options.handleConfiguration(frame.configuration);
        break;
    }
  }

  private handleReport(
    view: AgentSession,
    frame: Extract<AgentFrame, {kind: AgentFrameKind.REPORT}>,
  ): void {
    view.applyReport(frame.report);
    // A later life that has its target in hand proves that what its
    // predecessors had started is over.
    if (frame.report.phase !== TargetPhase.ABSENT)
      this.replaceOlderSessions(view);
  }

  private replaceOlderSessions(present: AgentSession): void {
    for (const view of this.listSessions()) {
      if (view === present || view.greeting.agent !== present.greeting.agent) {
        continue;
      }
      if (view.lastHeardAtMs > present.lastHeardAtMs) continue;
      this.applyEvent(view, AgentEvent.REPLACED);
      this.views.delete(view.incarnation);
    }
  }

  private handleHello(
    stream: FrameStream<EntryFrame>,
    greeting: AgentHello,
    nowMs: number,
  ): void {
    const known = this.views.get(greeting.life);
    const view = known ?? AgentSession.create(greeting, stream, nowMs);
    this.views.set(greeting.life, view);
    if (known !== undefined) {
      known.replaceStream(stream);
      known.lastHeardAtMs = nowMs;
    }
    this.options.log(FleetEvent.AGENT_CONNECTED, 'An agent has connected.', {
      agent: greeting.agent,
      agentLife: greeting.life,
      held: greeting.held.length,
      ends: greeting.ends.length,
    });
    this.resolveTasks(view, greeting);
    if (known !== undefined && known.state !== AgentState.CONNECTED) {
      this.applyEvent(known, AgentEvent.RECONNECT);
    }
    const configuration = this.options.getConfiguration();
    if (configuration !== undefined) {
      view.send({kind: EntryFrameKind.CONFIGURATION, configuration});
    }
  }

  /** Settles each task by what the agent holds: held, ended, or never arrived. */
  private resolveTasks(view: AgentSession, greeting: AgentHello): void {
    for (const report of greeting.ends) {
      this.options.handleRunEnd(view, report);
      const {task, run} = report;
      view.send({kind: EntryFrameKind.ACKNOWLEDGE, task, run});
    }
    const held = new Map(greeting.held.map(row => [row.task, row]));
    for (const task of [...view.tasks.values()]) {
      const row = held.get(task.name);
      const isHeld = row !== undefined && row.run === task.run;
      this.options.handleRunStatus(
        task,
        isHeld ? RunStatusChange.STILL_HELD : RunStatusChange.NOT_HELD,
      );
    }
    for (const {task, run} of greeting.held) {
      if (view.tasks.get(task)?.run === run) continue;
      view.send({kind: EntryFrameKind.STOP, task, run});
    }
  }

  private findByStream(
    stream: FrameStream<EntryFrame>,
  ): AgentSession | undefined {
    return this.listSessions().find(view => view.isUsing(stream));
  }

  private disconnect(view: AgentSession, detail: string): void {
    if (view.state !== AgentState.CONNECTED) return;
    this.options.log(
      FleetEvent.AGENT_DISCONNECTED,
      `An agent is away: ${detail}.`,
      {
        agent: view.greeting.agent,
        agentLife: view.incarnation,
        runs: view.tasks.size,
      },
    );
    this.applyEvent(view, AgentEvent.DISCONNECT);
  }

  private applyEvent(view: AgentSession, event: AgentEvent): void {
    for (const action of view.applyEvent(event)) {
      switch (action) {
        case AgentAction.MARK_RUNS_UNCERTAIN:
          this.notifyTasks(view, RunStatusChange.AGENT_UNREACHABLE);
          break;
        case AgentAction.REQUEUE_RUNS:
          this.notifyTasks(view, RunStatusChange.NOT_HELD);
          break;
      }
    }
  }

  private notifyTasks(view: AgentSession, news: RunStatusChange): void {
    for (const task of [...view.tasks.values()]) {
      this.options.handleRunStatus(task, news);
    }
  }
}
