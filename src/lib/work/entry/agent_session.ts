/** One life of an agent as an entry sees it. */
import type {PlacementTarget} from '../../decisions/place_task.js';
import {
  AgentFrameKind,
  EntryFrameKind,
  TargetPhase,
} from '../../core/work_frames.js';
import type {
  AgentFrame,
  EntryFrame,
  RunOrder,
  TargetReport,
} from '../../core/work_frames.js';
import type {FrameStream} from '../link/frame_stream.js';
import {NO_RESOURCES, subtractResources} from '../../core/work_job.js';
import type {Resources} from '../../core/work_job.js';
import type {ActiveTask} from './active_job.js';
import {
  AGENT_CHART,
  AgentAction,
  AgentEvent,
  AgentState,
} from './work_charts.js';

/** The greeting of an agent. */
export type AgentHello = Extract<AgentFrame, {kind: AgentFrameKind.HELLO}>;

interface InFlightOrder {
  readonly sequence: number;
  readonly need: Resources;
}

/** An agent before its first report. */
const INITIAL_REPORT: TargetReport = {
  through: 0,
  phase: TargetPhase.ABSENT,
  service: '',
  life: '',
  labels: [],
  capacity: NO_RESOURCES,
  free: NO_RESOURCES,
  waiting: 0,
  slowness: 1,
  isSuspect: false,
};

/** Keeps the orders given to one life of an agent and what it reported. */
export class AgentSession {
  /** Tasks that it holds for us, by name. */
  readonly tasks = new Map<string, ActiveTask>();
  /** Our time of its last ping; nothing later can have told it that we live. */
  lastHeardAtMs: number;
  /** Room free on its target, orders on their way taken off. */
  free: Resources = NO_RESOURCES;

  private current: AgentState = AGENT_CHART.initial;
  private lastSequence = 0;
  private inFlightOrders: InFlightOrder[] = [];
  private latest = INITIAL_REPORT;
  private outbox: EntryFrame[] = [];

  private constructor(
    readonly greeting: AgentHello,
    private stream: FrameStream<EntryFrame>,
    nowMs: number,
  ) {
    this.lastHeardAtMs = nowMs;
  }

  /** Creates the view of an agent that has just greeted. */
  static create(
    greeting: AgentHello,
    stream: FrameStream<EntryFrame>,
    nowMs: number,
  ): AgentSession {
    return new AgentSession(greeting, stream, nowMs);
  }

  /** Names this life of the agent. */
  get incarnation(): string {
    return this.greeting.life;
  }

  /** Where the agent is in its chart. */
  get state(): AgentState {
    return this.current;
  }

  /** The last report. */
  get report(): TargetReport {
    return this.latest;
  }

  /** Tells whether the stream is the one in use. */
  isUsing(stream: FrameStream<EntryFrame>): boolean {
    return this.stream === stream;
  }

  /** Takes a new stream of the same life; frames of the old one are dropped. */
  replaceStream(stream: FrameStream<EntryFrame>): void {
    if (this.stream !== stream) this.stream.close();
    this.stream = stream;
    this.outbox = [];
    this.inFlightOrders = [];
    this.latest = {...this.latest, phase: TargetPhase.ABSENT};
    this.free = NO_RESOURCES;
  }

  /** Closes the stream. */
  closeStream(): void {
    this.stream.close();
  }

  /** Takes an event; returns the actions of the chart. */
  applyEvent(event: AgentEvent): readonly AgentAction[] {
    const step = AGENT_CHART.step(this.current, event);
    this.current = step.state;
    return step.actions as readonly AgentAction[];
  }

  /** Takes a report. */
  applyReport(report: TargetReport): void {
    this.latest = report;
    this.inFlightOrders = this.inFlightOrders.filter(
      order => order.sequence > report.through,
    );
    this.free = this.inFlightOrders.reduce(
      (room, order) => subtractResources(room, order.need),
      report.free,
    );
  }

  /** Queues an order and takes its need off the room. */
  sendOrder(task: ActiveTask, order: Omit<RunOrder, 'sequence'>): void {
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    task.sequence = sequence;
    task.agentIncarnation = this.incarnation;
    this.tasks.set(task.name, task);
    this.inFlightOrders.push({sequence, need: order.need});
    this.free = subtractResources(this.free, order.need);
    this.send({kind: EntryFrameKind.ORDER, order: {...order, sequence}});
  }

  /** Queues a frame; `flush` sends it. */
  send(frame: EntryFrame): void {
    this.outbox.push(frame);
  }

  /** Sends what is queued as one message. */
  flush(): void {
    if (this.outbox.length === 0) return;
    if (this.current === AgentState.CONNECTED) this.stream.send(this.outbox);
    this.outbox = [];
  }

  /**
   * Shows the target to placement.
   *
   * @param typicalSlowness Run time over estimate on a typical target of the fleet.
   */
  describeTarget(typicalSlowness: number): PlacementTarget {
    const {latest} = this;
    return {
      agent: this.incarnation,
      life: latest.life,
      labels: latest.labels,
      free: this.free,
      capacity: latest.capacity,
      slowness: latest.slowness / typicalSlowness,
      isSuspect: latest.isSuspect,
    };
  }
}
