/** An agent that runs work on the target beside it: its tasks and its life. */
import type {ReadMonotonicMs, StartTimer} from '../../core/clock.js';
import {DisposableStore} from '../../core/disposable_store.js';
import type {ProcessIdentity} from '../../core/identity.js';
import {
  ProcessAction,
  ProcessEvent,
  ProcessLife,
  ProcessState,
} from '../../core/process_life.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import type {OpenFrameStream} from '../link/frame_stream.js';
import {EntryLinks} from './entry_links.js';
import {WorkMessageKind} from './runner_messages.js';
import type {ConnectTarget, TargetBeat} from './target_port.js';
import {WorkRunner} from './work_runner.js';

/** An open listener that can be closed. */
export interface BeatDoor {
  readonly close: () => Promise<void>;
}

/** What the listener for the target is given. */
export interface BeatPorts {
  readonly takeBeat: (beat: TargetBeat) => void;
  readonly takeLeave: (id: string) => void;
  readonly reportRejected: (id: string) => void;
}

/** What an agent needs to be created. */
export interface WorkAgentOptions {
  readonly identity: ProcessIdentity;
  /** Addresses of entries to begin with, `host:port`. */
  readonly seeds: readonly string[];
  readonly findEntries: () => Promise<readonly string[]>;
  readonly stopWithinMs: number;
  readonly connectTarget: ConnectTarget;
  readonly openBeatDoor: (ports: BeatPorts) => Promise<BeatDoor>;
  readonly openStream: OpenFrameStream<AgentFrame, EntryFrame>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
}

/** A stopping agent takes no new run at once; the entries learn it in one report. */
const NOTICE_MS = 0;

/** Time in milliseconds kept for the last reports before the kill. */
const STOP_MARGIN_MS = 500;

/** Runs an agent. */
export class WorkAgent {
  /** Settles when the agent has stopped. */
  readonly stopped: Promise<void>;

  private readonly store = DisposableStore.create();
  private readonly life: ProcessLife;
  private readonly runner: WorkRunner;
  private readonly links: EntryLinks;
  private resolveStopped: () => void = () => undefined;

  private constructor(private readonly options: WorkAgentOptions) {
    const {identity, log} = options;
    this.stopped = new Promise(resolve => (this.resolveStopped = resolve));
    this.life = ProcessLife.create({
      noticeMs: NOTICE_MS,
      drainMs: options.stopWithinMs - STOP_MARGIN_MS,
      startTimer: options.startTimer,
      perform: action => this.perform(action),
      reportState: state => this.followState(state),
    });
    this.runner = WorkRunner.create({
      ...options,
      agent: identity.id,
      life: identity.incarnation,
      dataCentre: identity.dataCentre,
      postToLinks: message => this.links.post(message),
      reportIdle: () => this.life.send(ProcessEvent.IDLE),
      reportFailure: this.reportFailure,
    });
    this.store.add(() => this.runner.stop());
    this.links = EntryLinks.create({
      ...options,
      open: options.openStream,
      listBacklogs: this.runner.listBacklogs,
      post: this.runner.post,
      reportLink: (entry, isOpen, detail) => {
        const event = isOpen
          ? FleetEvent.ENTRY_CONNECTED
          : FleetEvent.ENTRY_LOST;
        const text = isOpen
          ? 'An entry is linked.'
          : `A link ended: ${detail}.`;
        log(event, text, {entry});
      },
      reportFailure: this.reportFailure,
    });
    this.store.add(() => this.links.stop());
  }

  /** Creates an agent that does not listen yet. */
  static create(options: WorkAgentOptions): WorkAgent {
    return new WorkAgent(options);
  }

  /**
   * Opens the sockets and begins to serve.
   *
   * @throws AddressError if an address cannot be listened on.
   */
  async start(): Promise<void> {
    const {runner, options} = this;
    const door = await options.openBeatDoor({
      takeBeat: beat => runner.post({kind: WorkMessageKind.BEAT, beat}),
      takeLeave: id => runner.post({kind: WorkMessageKind.TARGET_LEFT, id}),
      reportRejected: id =>
        options.log(FleetEvent.BEAT_REJECTED, 'A heartbeat was not usable.', {
          target: id,
        }),
    });
    this.store.add(() => door.close());
    this.life.send(ProcessEvent.READY);
  }

  /** Begins a graceful stop; a second call changes nothing. */
  requestStop(): void {
    this.life.send(ProcessEvent.STOP);
  }

  private perform(action: ProcessAction): void {
    switch (action) {
      case ProcessAction.REFUSE_READINESS:
        this.runner.post({kind: WorkMessageKind.LEAVE});
        break;
      case ProcessAction.REFUSE_WORK:
        break;
      case ProcessAction.HAND_OVER:
        this.life.send(ProcessEvent.RELEASED);
        break;
      case ProcessAction.REPORT_UNFINISHED:
        this.options.log(FleetEvent.STOPPING, 'Runs are left to their lease.');
        break;
    }
  }

  private followState(state: ProcessState): void {
    const {log} = this.options;
    switch (state) {
      case ProcessState.STARTING:
      case ProcessState.SERVING:
        log(FleetEvent.STARTED, `The agent is ${state}.`);
        break;
      case ProcessState.LEAVING:
      case ProcessState.DRAINING:
      case ProcessState.RELEASING:
        log(FleetEvent.STOPPING, `The agent is ${state}.`);
        break;
      case ProcessState.STOPPED:
        void this.release();
        break;
    }
  }

  private async release(): Promise<void> {
    try {
      await this.store.dispose();
    } catch (failure) {
      this.reportFailure(failure);
    }
    this.options.log(FleetEvent.STOPPED, 'The agent has stopped.');
    this.resolveStopped();
  }

  private readonly reportFailure = (failure: unknown): void =>
    this.options.log(FleetEvent.FAILURE, 'A task failed.', {err: failure});
}
