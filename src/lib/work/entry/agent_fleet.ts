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
import {AgentView} from './agent_view.js';
import {PeerWork} from './peer_work.js';
import {PROOF_MS} from './run_proof.js';
import {TaskNews} from './task_news.js';
import type {AgentGreeting} from './agent_view.js';
import {AgentAction, AgentEvent, AgentState} from './work_charts.js';

/** Silence in milliseconds after which an agent counts as out of reach. */
const SILENCE_MS = 500;

/** Silence in milliseconds after which an agent gets no new task. */
const CAUTION_MS = 300;

/** Thousandths in a core. */
const MILLI = 1000;

/** Run time in milliseconds of a task in an agent's queue, of which only the need is known. */
const USUAL_RUN_MS = 250;

/** Time in milliseconds after which a lapsed agent is forgotten. */
const FORGET_AFTER_MS = 30_000;

/** Keeps the lives of agents that have greeted. Owned by the scheduler. */
export class AgentFleet {
  private readonly views = new Map<string, AgentView>();
  /** What waits at the other entries. */
  readonly peers = PeerWork.create();
  private latestSpeeds = computeSpeeds([]);

  private constructor(private readonly options: AgentFleetOptions) {}

  /** Creates a fleet without agents. */
  static create(options: AgentFleetOptions): AgentFleet {
    return new AgentFleet(options);
  }

  /** Lists all lives known. */
  listViews(): AgentView[] {
    return [...this.views.values()];
  }

  /** Finds a life of an agent. */
  find(life: string): AgentView | undefined {
    return this.views.get(life);
  }

  /** Lists the agents that may get tasks of a service now. */
  listUsable(
    service: string,
    dataCentresOut: readonly string[],
    nowMs: number,
  ): AgentView[] {
    return this.listViews().filter(
      view =>
        view.state === AgentState.PRESENT &&
        view.report.phase === TargetPhase.READY &&
        view.report.service === service &&
        nowMs - view.heardAtMs <= CAUTION_MS &&
        !dataCentresOut.includes(view.greeting.dataCentre),
    );
  }

  /** How fast the targets are, as of the last check. */
  get speeds(): FleetSpeeds {
    return this.latestSpeeds;
  }

  /** Shows the targets to placement, their slowness against a typical one. */
  describeTargets(views: readonly AgentView[]): PlacementTarget[] {
    return views.map(view => view.describeTarget(this.latestSpeeds.typical));
  }

  /** Work that waits in the agents' queues, in core-milliseconds. */
  sumQueued(): number {
    const milli = this.listViews().reduce(
      (sum, view) => sum + Math.max(0, -view.free.cpuMilli),
      0,
    );
    return (milli / MILLI) * USUAL_RUN_MS;
  }

  /** Takes the frames of one message. */
  takeFrames(
    stream: FrameStream<EntryFrame>,
    frames: readonly AgentFrame[],
    nowMs: number,
  ): void {
    for (const frame of frames) this.takeFrame(stream, frame, nowMs);
  }

  /** Takes the end of a stream. */
  closeStream(stream: FrameStream<EntryFrame>, detail: string): void {
    const view = this.findByStream(stream);
    if (view !== undefined) this.disconnect(view, detail);
  }

  private measureSpeeds(): void {
    const present = this.listViews().filter(
      view =>
        view.state === AgentState.PRESENT &&
        view.report.phase === TargetPhase.READY,
    );
    this.latestSpeeds = computeSpeeds(
      present.map(view => view.report.slowness),
    );
  }

  /** Treats silent agents as out of reach, and settles those long gone. */
  check(nowMs: number): void {
    this.measureSpeeds();
    for (const view of this.listViews()) {
      const silentMs = nowMs - view.heardAtMs;
      if (view.state === AgentState.PRESENT && silentMs > SILENCE_MS) {
        view.closeStream();
        this.disconnect(view, 'silent');
      }
      if (view.state === AgentState.AWAY && silentMs > PROOF_MS) {
        this.change(view, AgentEvent.PROVEN);
      }
      if (view.state === AgentState.LAPSED && silentMs > FORGET_AFTER_MS) {
        this.change(view, AgentEvent.FORGOTTEN);
      }
      if (view.state === AgentState.GONE) this.views.delete(view.life);
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

  private takeFrame(
    stream: FrameStream<EntryFrame>,
    frame: AgentFrame,
    nowMs: number,
  ): void {
    if (frame.kind === AgentFrameKind.HELLO) {
      this.greet(stream, frame, nowMs);
      return;
    }
    const view = this.findByStream(stream);
    if (view === undefined) return;
    switch (frame.kind) {
      case AgentFrameKind.PING:
        view.heardAtMs = nowMs;
        this.peers.learn(frame.backlogs, nowMs);
        view.send({
          kind: EntryFrameKind.PONG,
          sentAtMs: frame.sentAtMs,
          ...this.options.describeBacklog(),
        });
        break;
      case AgentFrameKind.REPORT:
        this.takeReport(view, frame);
        break;
      case AgentFrameKind.END: {
        const {task, run} = frame.report;
        this.options.takeEnd(view, frame.report);
        view.send({kind: EntryFrameKind.ACKNOWLEDGE, task, run});
        break;
      }
      case AgentFrameKind.CONFIGURATION:
        this.options.takeConfiguration(frame.configuration);
        break;
    }
  }

  private takeReport(
    view: AgentView,
    frame: Extract<AgentFrame, {kind: AgentFrameKind.REPORT}>,
  ): void {
    view.takeReport(frame.report);
    // A later life that has its target in hand proves that what its
    // predecessors had started is over.
    if (frame.report.phase !== TargetPhase.ABSENT) this.replaceLives(view);
  }

  private replaceLives(present: AgentView): void {
    for (const view of this.listViews()) {
      if (view === present || view.greeting.agent !== present.greeting.agent) {
        continue;
      }
      if (view.heardAtMs > present.heardAtMs) continue;
      this.change(view, AgentEvent.REPLACED);
      this.views.delete(view.life);
    }
  }

  private greet(
    stream: FrameStream<EntryFrame>,
    greeting: AgentGreeting,
    nowMs: number,
  ): void {
    const known = this.views.get(greeting.life);
    const view = known ?? AgentView.create(greeting, stream, nowMs);
    this.views.set(greeting.life, view);
    if (known !== undefined) {
      known.replaceStream(stream);
      known.heardAtMs = nowMs;
    }
    this.options.log(FleetEvent.AGENT_CONNECTED, 'An agent has connected.', {
      agent: greeting.agent,
      agentLife: greeting.life,
      held: greeting.held.length,
      ends: greeting.ends.length,
    });
    this.settle(view, greeting);
    if (known !== undefined && known.state !== AgentState.PRESENT) {
      this.change(known, AgentEvent.RECONNECT);
    }
    const configuration = this.options.getConfiguration();
    if (configuration !== undefined) {
      view.send({kind: EntryFrameKind.CONFIGURATION, configuration});
    }
  }

  /** Settles each task by what the agent holds: held, ended, or never arrived. */
  private settle(view: AgentView, greeting: AgentGreeting): void {
    for (const report of greeting.ends) {
      this.options.takeEnd(view, report);
      const {task, run} = report;
      view.send({kind: EntryFrameKind.ACKNOWLEDGE, task, run});
    }
    const held = new Map(greeting.held.map(row => [row.task, row]));
    for (const task of [...view.tasks.values()]) {
      const row = held.get(task.name);
      const isHeld = row !== undefined && row.run === task.run;
      this.options.takeNews(task, isHeld ? TaskNews.BACK : TaskNews.RETURNED);
    }
    for (const {task, run} of greeting.held) {
      if (view.tasks.get(task)?.run === run) continue;
      view.send({kind: EntryFrameKind.STOP, task, run});
    }
  }

  private findByStream(stream: FrameStream<EntryFrame>): AgentView | undefined {
    return this.listViews().find(view => view.isUsing(stream));
  }

  private disconnect(view: AgentView, detail: string): void {
    if (view.state !== AgentState.PRESENT) return;
    this.options.log(
      FleetEvent.AGENT_DISCONNECTED,
      `An agent is away: ${detail}.`,
      {
        agent: view.greeting.agent,
        agentLife: view.life,
        runs: view.tasks.size,
      },
    );
    this.change(view, AgentEvent.DISCONNECT);
  }

  private change(view: AgentView, event: AgentEvent): void {
    for (const action of view.change(event)) {
      switch (action) {
        case AgentAction.DOUBT_RUNS:
          this.notifyTasks(view, TaskNews.AWAY);
          break;
        case AgentAction.RETURN_RUNS:
          this.notifyTasks(view, TaskNews.RETURNED);
          break;
      }
    }
  }

  private notifyTasks(view: AgentView, news: TaskNews): void {
    for (const task of [...view.tasks.values()]) {
      this.options.takeNews(task, news);
    }
  }
}
