/** An agent that runs work on the target beside it: tasks and lifecycle. */
import type {
  DrawRandom,
  ReadMonotonicMs,
  ReadSystemMs,
  StartTimer,
} from '../../core/clock.js';
import type {ProcessIdentity} from '../../core/identity.js';
import {ProcessAction, ProcessEvent} from '../../core/process_lifecycle.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import type {OpenFrameStream} from '../link/frame_stream.js';
import {FleetProcess} from '../fleet_process.js';
import type {FleetProcessAction} from '../fleet_process.js';
import {EntryLinkManager} from './entry_link_manager.js';
import {HeartbeatRejection, RejectedHeartbeats} from './rejected_heartbeats.js';
import {RunnerMessageKind} from './runner_messages.js';
import type {ConnectTarget, TargetHeartbeat} from './target_api.js';
import {WorkRunner} from './work_runner.js';

/** An open listener for the target's heartbeats. */
export interface HeartbeatListener {
  readonly close: () => Promise<void>;
}

/** Callbacks of the heartbeat listener. */
export interface HeartbeatHandlers {
  readonly handleHeartbeat: (heartbeat: TargetHeartbeat) => void;
  readonly handleDeregistration: (
    id: string,
    startMs: number | undefined,
  ) => void;
  readonly reportRejected: (id: string) => void;
}

/** Dependencies and settings of an agent. */
export interface WorkAgentOptions {
  readonly identity: ProcessIdentity;
  /** Initial addresses of entries, `host:port`. */
  readonly seeds: readonly string[];
  readonly findEntries: () => Promise<readonly string[]>;
  readonly stopWithinMs: number;
  /** Whether entries are told when capacity will come free, and gaps are filled. */
  readonly planAhead?: boolean;
  readonly connectTarget: ConnectTarget;
  readonly openHeartbeatListener: (
    handlers: HeartbeatHandlers,
  ) => Promise<HeartbeatListener>;
  readonly openStream: OpenFrameStream<AgentFrame, EntryFrame>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly readSystemMs: ReadSystemMs;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
}

/**
 * Time in milliseconds between the notice of a stop and the drain. None is
 * needed: a stopping agent refuses new runs at once, and one report informs the
 * entries.
 */
const DRAIN_NOTICE_MS = 0;

/** Time in milliseconds reserved for the last reports before the kill. */
const STOP_MARGIN_MS = 500;

/** The agent process: owns the work runner and the link manager. */
export class WorkAgent {
  /** Resolves when the agent has stopped. */
  readonly stopped: Promise<void>;

  private readonly process: FleetProcess;
  private readonly runner: WorkRunner;
  private readonly links: EntryLinkManager;

  private constructor(private readonly options: WorkAgentOptions) {
    const {identity, log} = options;
    this.process = FleetProcess.create({
      name: 'agent',
      noticeMs: DRAIN_NOTICE_MS,
      drainMs: options.stopWithinMs - STOP_MARGIN_MS,
      startTimer: options.startTimer,
      log,
      perform: action => this.perform(action),
    });
    const {store, reportFailure} = this.process;
    this.stopped = this.process.stopped;
    this.runner = WorkRunner.create({
      ...options,
      agent: identity.id,
      incarnation: identity.incarnation,
      dataCentre: identity.dataCentre,
      postToLinks: message => this.links.post(message),
      reportIdle: () => this.process.send(ProcessEvent.IDLE),
      reportFailure,
    });
    store.add(() => this.runner.stop());
    this.links = EntryLinkManager.create({
      ...options,
      agent: identity.id,
      open: options.openStream,
      createPing: this.runner.createPing,
      reportLoad: this.runner.reportLoad,
      post: this.runner.post,
      reportLink: (isOpen, detail, fields) => {
        const event = isOpen
          ? FleetEvent.ENTRY_CONNECTED
          : FleetEvent.ENTRY_LOST;
        const text = isOpen
          ? 'Connected to an entry.'
          : `Lost the connection to an entry: ${detail}.`;
        log(event, text, fields);
      },
      reportFailure,
    });
    store.add(() => this.links.stop());
  }

  /** Creates an agent that is not listening yet. */
  static create(options: WorkAgentOptions): WorkAgent {
    return new WorkAgent(options);
  }

  /**
   * Opens the heartbeat listener and marks the process ready.
   *
   * @throws AddressError if an address cannot be listened on.
   */
  async start(): Promise<void> {
    const {runner, options, process} = this;
    const rejected = RejectedHeartbeats.create(options);
    const listener = await options.openHeartbeatListener({
      handleHeartbeat: heartbeat =>
        runner.post({kind: RunnerMessageKind.HEARTBEAT, heartbeat}),
      handleDeregistration: (id, startMs) =>
        runner.post({kind: RunnerMessageKind.TARGET_DEREGISTERED, id, startMs}),
      reportRejected: id =>
        rejected.record(HeartbeatRejection.INVALID, {target: id}),
    });
    process.store.add(() => listener.close());
    process.send(ProcessEvent.READY);
  }

  /** Begins a graceful stop; further calls have no effect. */
  requestStop(): void {
    this.process.send(ProcessEvent.STOP);
  }

  private perform(action: FleetProcessAction): void {
    switch (action) {
      case ProcessAction.REFUSE_READINESS:
        this.runner.post({kind: RunnerMessageKind.DRAIN});
        break;
      case ProcessAction.REFUSE_WORK:
        break;
      case ProcessAction.REPORT_UNFINISHED:
        this.options.log(
          FleetEvent.STOPPING,
          'Stopping with runs in progress; they end with their lease.',
        );
        break;
    }
  }
}
