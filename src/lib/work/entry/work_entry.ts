/** The process of an entry: creates its tasks and listeners, and stops them. */
import type {
  DrawRandom,
  ReadMonotonicMs,
  ReadSystemMs,
  StartTimer,
} from '../../core/clock.js';
import type {ProcessIdentity} from '../../core/identity.js';
import {
  ProcessAction,
  ProcessEvent,
  ProcessState,
} from '../../core/process_lifecycle.js';
import type {Post} from '../../core/task.js';
import type {QueueForecasts} from '../../decisions/forecast_table.js';
import {createChoices} from '../../decisions/place_ahead.js';
import type {ChooseTarget} from '../../decisions/place_task.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {PlatformStore} from '../../store/platform_store.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import type {AcceptFrameStream, FrameServer} from '../link/frame_stream.js';
import {FleetProcess} from '../fleet_process.js';
import type {FleetProcessAction} from '../fleet_process.js';
import {createAgentAcceptor} from './accept_agents.js';
import {FleetConfigurationTask} from './fleet_configuration_task.js';
import type {DecodeConfiguration} from './fleet_configuration_task.js';
import {Scheduler} from './scheduler.js';
import {SchedulerMessageKind} from './scheduler_messages.js';
import type {SchedulerMessage} from './scheduler_messages.js';

/** An open listener for callers or the load balancer. */
export interface Listener {
  readonly close: () => Promise<void>;
}

/** The parts of an entry that its listeners use. */
export interface EntryPorts {
  readonly post: Post<SchedulerMessage>;
  readonly getConfiguration: () => FleetConfiguration | undefined;
  readonly isStopping: () => boolean;
  readonly isReady: () => boolean;
}

/** Settings and dependencies of an entry. */
export interface WorkEntryOptions {
  readonly identity: ProcessIdentity;
  /** Address by which agents reach this entry, `host:port`. */
  readonly linkAddress: string;
  readonly farFactor: number;
  /** Whether placement looks at what waits and at what will end soon. */
  readonly planAhead?: boolean;
  /** Memory in MB of the process; undefined if not given. */
  readonly memoryMb?: number;
  readonly stopWithinMs: number;
  readonly chooseTarget?: ChooseTarget;
  readonly store: PlatformStore;
  readonly operatorsPrefix: string;
  readonly decodeConfiguration: DecodeConfiguration;
  /** Opens the listeners for callers and the load balancer. */
  readonly openListeners: (ports: EntryPorts) => Promise<readonly Listener[]>;
  readonly openLinkServer: (
    address: string,
    accept: AcceptFrameStream<EntryFrame, AgentFrame>,
  ) => Promise<FrameServer>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly readSystemMs: ReadSystemMs;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
}

/**
 * Time in milliseconds for which a stopping entry still accepts new jobs: the
 * load balancer removes it after two failed readiness checks, one a second.
 */
const NOTICE_MS = 2500;

/**
 * Time in milliseconds reserved for the last answers before the process is
 * killed: several dozen of them take 50 ms on the smallest host.
 */
const STOP_MARGIN_MS = 400;

/** An entry: its scheduler, its configuration task and its listeners. */
export class WorkEntry {
  /** Resolves when the entry has stopped. */
  readonly stopped: Promise<void>;

  private readonly process: FleetProcess;
  private readonly scheduler: Scheduler;
  private configuration: FleetConfiguration | undefined;
  private isReady = false;
  private updateForecasts: (forecasts: QueueForecasts) => void = () =>
    undefined;

  private constructor(private readonly options: WorkEntryOptions) {
    const {identity, log} = options;
    this.process = FleetProcess.create({
      name: 'entry',
      noticeMs: NOTICE_MS,
      drainMs: options.stopWithinMs - NOTICE_MS - STOP_MARGIN_MS,
      startTimer: options.startTimer,
      log,
      perform: action => this.perform(action),
    });
    const {store, reportFailure} = this.process;
    this.stopped = this.process.stopped;
    const choices = createChoices(options.drawRandom, options.planAhead);
    this.scheduler = Scheduler.create({
      ...options,
      incarnation: identity.incarnation,
      address: options.linkAddress,
      dataCentre: identity.dataCentre,
      ...choices,
      chooseTarget: options.chooseTarget ?? choices.chooseTarget,
      reportFailure,
      reportReady: isReady => (this.isReady = isReady),
      applyConfiguration: configuration => {
        this.configuration = configuration;
        log(FleetEvent.CONFIGURATION_APPLIED, 'A configuration is in force.', {
          version: configuration.version,
          revision: configuration.revision,
          dataCentresOut: configuration.dataCentresOut,
        });
      },
      reportForecasts: forecasts => this.updateForecasts(forecasts),
      reportIdle: () => this.process.send(ProcessEvent.IDLE),
    });
    store.add(() => this.scheduler.stop());
  }

  /** Creates an entry that does not listen yet. */
  static create(options: WorkEntryOptions): WorkEntry {
    return new WorkEntry(options);
  }

  /**
   * Opens the sockets and starts to serve.
   *
   * @throws AddressError if an address cannot be listened on.
   */
  async start(): Promise<void> {
    const {options, scheduler} = this;
    const {store, reportFailure} = this.process;
    const configurationTask = FleetConfigurationTask.create({
      ...options,
      address: options.linkAddress,
      decode: options.decodeConfiguration,
      publishConfiguration: configuration =>
        scheduler.post({
          kind: SchedulerMessageKind.CONFIGURATION,
          configuration,
        }),
      publishForecasts: forecasts =>
        scheduler.post({kind: SchedulerMessageKind.FORECASTS, forecasts}),
      publishEntries: addresses =>
        scheduler.post({kind: SchedulerMessageKind.ENTRIES, addresses}),
      reportFailure,
    });
    store.add(() => configurationTask.stop());
    this.updateForecasts = forecasts =>
      configurationTask.updateForecasts(forecasts);
    const server = await options.openLinkServer(
      options.linkAddress,
      createAgentAcceptor(scheduler),
    );
    store.add(() => server.close());
    const listeners = await options.openListeners({
      post: scheduler.post,
      getConfiguration: () => this.configuration,
      isStopping: () => this.process.state !== ProcessState.SERVING,
      isReady: () =>
        this.isReady && this.process.state === ProcessState.SERVING,
    });
    for (const listener of listeners) store.add(() => listener.close());
    this.process.send(ProcessEvent.READY);
  }

  /** Begins a graceful stop; a second call changes nothing. */
  requestStop(): void {
    this.process.send(ProcessEvent.STOP);
  }

  private perform(action: FleetProcessAction): void {
    switch (action) {
      case ProcessAction.REFUSE_READINESS:
        break;
      case ProcessAction.REFUSE_WORK:
        this.scheduler.post({kind: SchedulerMessageKind.DRAIN});
        break;
      case ProcessAction.REPORT_UNFINISHED:
        this.scheduler.post({kind: SchedulerMessageKind.END_UNFINISHED});
        break;
    }
  }
}
