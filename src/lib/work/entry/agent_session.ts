/** The session of one incarnation of an agent at an entry. */
import {LINKS_PER_AGENT} from '../../decisions/choose_links.js';
import {advanceOutlook, readOutlook} from '../../decisions/place_ahead.js';
import type {PlacementTarget} from '../../decisions/place_task.js';
import {
  AgentFrameKind,
  EntryFrameKind,
  TargetPhase,
} from '../../core/work_frames.js';
import type {
  AgentFrame,
  CapacityStep,
  EntryFrame,
  RunOrder,
  TargetDescription,
  TargetLoad,
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

/** The first frame that an agent sends on a stream. */
export type AgentHello = Extract<AgentFrame, {kind: AgentFrameKind.HELLO}>;

/**
 * Number of runs that an entry orders of one agent at a time. Capacity bounds them
 * earlier unless tasks need none: an agent holds the payload of each, up to 4,000 bytes.
 */
const RUNS_AT_MOST = 1000;

/** Capacity of a target that gets no further run, also none without needs. */
const NO_ROOM: Resources = {cpuMilli: -1, memoryMb: -1, accelerators: -1};

interface InFlightOrder {
  readonly sequence: number;
  readonly need: Resources;
}

/** Stands for the report of an agent that has not sent one. */
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

/** Tracks the orders to one incarnation of an agent, and its latest report. */
export class AgentSession {
  /** Tasks ordered from the agent and not ended, by name. */
  readonly tasks = new Map<string, ActiveTask>();
  /**
   * Local time of its last message, in milliseconds. The agent has no later proof
   * that this entry is alive than an answer to a ping sent before.
   */
  lastReceivedAtMs: number;
  /** Backlog of the agent's other entries, from its latest ping. */
  peerBacklog = 0;
  /** Number of entries that the agent is linked to. */
  links = LINKS_PER_AGENT;
  /** Revision of the newest configuration that the agent knows of. */
  revision = 0;
  /** Free capacity of its target, less the orders in flight. */
  free: Resources = NO_RESOURCES;

  /** Highest number of the agent's hellos that were accepted. */
  private latestHello: number;
  private current: AgentState = AGENT_CHART.initial;
  private lastSequence: number;
  private inFlightOrders: InFlightOrder[] = [];
  private latestReport = INITIAL_REPORT;
  /** Local time of the latest report of the load, in milliseconds. */
  private reportedAtMs = 0;
  private outbox: EntryFrame[] = [];

  private constructor(
    readonly hello: AgentHello,
    private stream: FrameStream<EntryFrame>,
    nowMs: number,
    private readonly requestFlush: (session: AgentSession) => void,
  ) {
    this.lastReceivedAtMs = nowMs;
    this.latestHello = hello.number ?? 0;
    // The agent ignores an order that is not above those it knows of.
    this.lastSequence = hello.through;
  }

  /**
   * Creates the session of an agent that has just sent its hello.
   *
   * @param requestFlush Called with the session when a frame is queued.
   */
  static create(
    hello: AgentHello,
    stream: FrameStream<EntryFrame>,
    nowMs: number,
    requestFlush: (session: AgentSession) => void,
  ): AgentSession {
    // The lists are handled as they arrive; a session is kept for half a minute longer.
    const kept = {...hello, held: [], ends: [], crashes: []};
    return new AgentSession(kept, stream, nowMs, requestFlush);
  }

  /** Incarnation of the agent, which identifies the session. */
  get id(): string {
    return this.hello.life;
  }

  /** Current state in `charts/work_agent.yaml`. */
  get state(): AgentState {
    return this.current;
  }

  /** Latest report on its target. */
  get report(): TargetReport {
    return this.latestReport;
  }

  /** The stream in use. */
  get currentStream(): FrameStream<EntryFrame> {
    return this.stream;
  }

  /**
   * Returns whether a hello was written before the latest accepted one: its runs
   * are those of a moment before orders that the agent may have received since.
   */
  isOutdated({number}: AgentHello): boolean {
    return number !== undefined && number <= this.latestHello;
  }

  /** Switches to a new stream; frames queued for the old one are dropped. */
  replaceStream(stream: FrameStream<EntryFrame>, hello: AgentHello): void {
    this.latestHello = hello.number ?? this.latestHello;
    this.lastSequence = Math.max(this.lastSequence, hello.through);
    if (this.stream !== stream) this.stream.close();
    this.stream = stream;
    this.outbox = [];
    this.inFlightOrders = [];
    this.latestReport = {
      ...this.latestReport,
      phase: TargetPhase.ABSENT,
      outlook: undefined,
    };
    this.free = NO_RESOURCES;
  }

  /** Closes the stream; the agent may reconnect on a new one. */
  closeStream(): void {
    this.stream.close();
  }

  /** Applies an event of the state chart; returns the actions to perform. */
  applyEvent(event: AgentEvent): readonly AgentAction[] {
    const step = AGENT_CHART.step(this.current, event);
    this.current = step.state;
    return step.actions as readonly AgentAction[];
  }

  /** Stores a description of the target; its load follows in a report. */
  applyTarget(target: TargetDescription): void {
    this.latestReport = {...this.latestReport, ...target};
  }

  /** Stores a report and recomputes the free capacity. */
  applyReport(report: TargetLoad, nowMs: number): void {
    const outlook = readOutlook(report.outlook);
    this.latestReport = {...this.latestReport, ...report, outlook};
    this.reportedAtMs = nowMs;
    this.inFlightOrders = this.inFlightOrders.filter(
      order => order.sequence > report.through,
    );
    this.free = this.inFlightOrders.reduce(
      (free, order) => subtractResources(free, order.need),
      report.free,
    );
  }

  /** Queues an order and subtracts its need from the free capacity. */
  sendOrder(task: ActiveTask, order: Omit<RunOrder, 'sequence'>): void {
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    task.sequence = sequence;
    task.agent = this.id;
    this.tasks.set(task.name, task);
    this.inFlightOrders.push({sequence, need: order.need});
    this.free = subtractResources(this.free, order.need);
    this.send({kind: EntryFrameKind.ORDER, order: {...order, sequence}});
  }

  /** Queues a frame and requests a flush. */
  send(frame: EntryFrame): void {
    this.outbox.push(frame);
    this.requestFlush(this);
  }

  /** Queues a frame that is sent with the next one, at the latest with a pong. */
  sendLater(frame: EntryFrame): void {
    this.outbox.push(frame);
  }

  /** Sends the queued frames as one message, or drops them if disconnected. */
  flush(): void {
    if (this.outbox.length === 0) return;
    if (this.current === AgentState.CONNECTED) this.stream.send(this.outbox);
    this.outbox = [];
  }

  /**
   * Describes the target for placement.
   *
   * @param typicalSlowness Ratio of run time to estimate on a typical target.
   */
  describeTarget(typicalSlowness: number, nowMs: number): PlacementTarget {
    const {latestReport} = this;
    const hasRoom = this.tasks.size < RUNS_AT_MOST;
    const outlook = hasRoom ? this.describeOutlook(nowMs) : undefined;
    return {
      agent: this.id,
      life: latestReport.life,
      labels: latestReport.labels,
      free: hasRoom ? this.free : NO_ROOM,
      capacity: hasRoom ? latestReport.capacity : NO_ROOM,
      slowness: latestReport.slowness / typicalSlowness,
      isSuspect: latestReport.isSuspect,
      ...(outlook !== undefined && {outlook}),
    };
  }

  private describeOutlook(nowMs: number): CapacityStep[] | undefined {
    const {outlook, free} = this.latestReport;
    if (outlook === undefined) return undefined;
    const inFlightMilli = free.cpuMilli - this.free.cpuMilli;
    return advanceOutlook(outlook, nowMs - this.reportedAtMs, inFlightMilli);
  }
}
