/** The agent: its tasks, tied together. */
import {defer, readMonotonicMs, startTimer} from '../core/clock.js';
import {DisposableStore} from '../core/disposable_store.js';
import type {HttpListener} from '../core/http_listener.js';
import type {ProcessIdentity} from '../core/identity.js';
import {
  ProcessAction,
  ProcessEvent,
  ProcessLifecycle,
  ProcessState,
} from '../core/process_lifecycle.js';
import {DataCentreState} from '../decisions/start_permission.js';
import {LogEvent} from '../observe/log.js';
import type {Log} from '../observe/log.js';
import {watchProcessHealth} from '../observe/process_health.js';
import {createProcessContext} from '../observe/process_context.js';
import type {ProcessContext} from '../observe/process_context.js';
import type {AgentSettings} from '../settings/agent_settings.js';
import {LogLevel} from '../settings/settings_schema.js';
import {openLinkStream} from '../wire/link_client.js';
import {openAnnouncementListener} from './announcement_listener.js';
import {EntryLink, LinkState} from './entry_link.js';
import {LinkManager} from './link_manager.js';
import {Runner} from './runner.js';
import {LinkManagerMessageKind, RunnerMessageKind} from './runner_messages.js';
import {connectTarget} from './target_client.js';
import {TargetManager, TargetState} from './target_manager.js';

/** How long a leaving agent still takes tasks that entries have sent, in milliseconds. */
const NOTICE_MS = 100;

const RESULT_BYTES_AT_MOST = 1024 * 1024;

const TARGET_EVENTS: Readonly<Record<TargetState, LogEvent>> = {
  [TargetState.ABSENT]: LogEvent.TARGET_ABSENT,
  [TargetState.PRESENT]: LogEvent.TARGET_PRESENT,
  [TargetState.LEAVING]: LogEvent.TARGET_LEAVING,
};

/** One running agent. */
export class AgentProcess {
  private readonly store = DisposableStore.create();
  private readonly identity: ProcessIdentity;
  private readonly log: Log;
  private readonly life: ProcessLifecycle;
  private readonly runner: Runner;
  private readonly target: TargetManager;
  private readonly keeper: LinkManager;
  private listener: HttpListener | undefined;
  private resolveStopped: () => void = () => undefined;
  /** Resolves when the agent has stopped and released everything. */
  readonly stopped: Promise<void>;

  private constructor(
    private readonly settings: AgentSettings,
    parts: ProcessContext,
  ) {
    const {identity, log, metrics} = parts;
    this.identity = identity;
    this.log = log;
    this.store.add(() => metrics.close());
    this.store.add(watchProcessHealth(metrics.reportGauge));
    this.stopped = new Promise(resolve => (this.resolveStopped = resolve));
    this.life = ProcessLifecycle.create({
      noticeMs: NOTICE_MS,
      drainMs: settings.stop.drainMs,
      startTimer,
      perform: action => this.perform(action),
      reportState: state => this.followState(state),
    });
    this.runner = this.createRunner();
    this.target = this.createTargetKeeper();
    this.keeper = this.createLinkKeeper();
    this.store.add(() => this.target.stop());
    this.store.add(() => this.runner.stop());
    this.store.add(() => this.keeper.stop());
  }

  /** Creates an agent from its settings; `start` opens its sockets. */
  static async create(settings: AgentSettings): Promise<AgentProcess> {
    return new AgentProcess(
      settings,
      await createProcessContext('agent', settings),
    );
  }

  /**
   * Opens the sockets and begins to serve.
   *
   * @throws AddressError if the address of the settings cannot be listened on.
   */
  async start(): Promise<void> {
    const {host, port} = this.settings.listen.targets;
    const listener = await openAnnouncementListener({
      host,
      port,
      leaseMs: this.settings.target.leaseMs,
      postToTarget: message => this.target.post(message),
      isReady: () => this.life.state === ProcessState.SERVING,
    });
    this.listener = listener;
    this.store.add(() => listener.close());
    this.keeper.openSeeds();
    this.life.send(ProcessEvent.READY);
  }

  /** Begins a graceful stop; a second call changes nothing. */
  requestStop(): void {
    this.life.send(ProcessEvent.STOP);
  }

  private createRunner(): Runner {
    return Runner.create({
      identity: this.identity,
      queueLimit: this.settings.target.queueLimit,
      permissionFreshMs: this.settings.permission.freshMs,
      readMonotonicMs,
      startTimer,
      defer,
      postToLink: (link, message) => this.keeper.postToLink(link, message),
      postToTarget: message => this.target.post(message),
      publishConfiguration: configuration =>
        this.keeper.post({
          kind: LinkManagerMessageKind.CONFIGURATION,
          configuration,
        }),
      reportPermission: state => this.reportPermission(state),
      reportIdle: () => this.life.send(ProcessEvent.IDLE),
      reportFailure: this.reportFailure,
    });
  }

  private createTargetKeeper(): TargetManager {
    return TargetManager.create({
      leaseMs: this.settings.target.leaseMs,
      resultBytesAtMost: RESULT_BYTES_AT_MOST,
      connect: connectTarget,
      postToRunner: message => this.runner.post(message),
      readMonotonicMs,
      startTimer,
      reportState: (state, target) =>
        this.log.write(
          LogLevel.INFO,
          TARGET_EVENTS[state],
          `Target ${target} is ${state}.`,
          {target},
        ),
      reportFailure: this.reportFailure,
    });
  }

  private createLinkKeeper(): LinkManager {
    return LinkManager.create({
      seeds: this.settings.entries,
      createLink: address =>
        EntryLink.create({
          address,
          pingPeriodMs: this.settings.permission.pingPeriodMs,
          openStream: openLinkStream,
          postToRunner: message => this.runner.post(message),
          readMonotonicMs,
          startTimer,
          drawRandom: Math.random,
          reportState: (entry, state) => this.reportLink(entry, state),
          reportFailure: this.reportFailure,
        }),
      reportFailure: this.reportFailure,
    });
  }

  private perform(action: ProcessAction): void {
    switch (action) {
      case ProcessAction.REFUSE_READINESS:
        this.runner.post({kind: RunnerMessageKind.LEAVE});
        break;
      case ProcessAction.REFUSE_WORK:
        this.runner.post({kind: RunnerMessageKind.REFUSE_WORK});
        break;
      case ProcessAction.HAND_OVER:
        this.life.send(ProcessEvent.RELEASED);
        break;
      case ProcessAction.REPORT_UNFINISHED:
        this.log.write(
          LogLevel.WARN,
          LogEvent.WORK_UNFINISHED,
          `Work was still in progress after ${this.settings.stop.drainMs} ms.`,
        );
        break;
    }
  }

  private followState(state: ProcessState): void {
    switch (state) {
      case ProcessState.STARTING:
        break;
      case ProcessState.SERVING:
        this.log.write(LogLevel.INFO, LogEvent.READY, 'The agent serves.', {
          port: this.listener?.port,
        });
        break;
      case ProcessState.LEAVING:
      case ProcessState.DRAINING:
      case ProcessState.RELEASING:
        this.log.write(
          LogLevel.INFO,
          LogEvent.STOPPING,
          `The agent is ${state}.`,
        );
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
    this.log.write(LogLevel.INFO, LogEvent.STOPPED, 'The agent has stopped.');
    this.resolveStopped();
  }

  private reportPermission(state: DataCentreState): void {
    const isIn = state === DataCentreState.IN;
    this.log.write(
      LogLevel.INFO,
      isIn ? LogEvent.PERMISSION_GRANTED : LogEvent.PERMISSION_WITHHELD,
      `The data centre is ${state}.`,
    );
  }

  private reportLink(entry: string, state: LinkState): void {
    const isOpen = state === LinkState.OPEN;
    this.log.write(
      isOpen || state === LinkState.WAITING ? LogLevel.INFO : LogLevel.DEBUG,
      isOpen ? LogEvent.ENTRY_CONNECTED : LogEvent.ENTRY_DISCONNECTED,
      `The link to ${entry} is ${state}.`,
      {entry},
    );
  }

  private readonly reportFailure = (failure: unknown): void => {
    this.log.write(LogLevel.ERROR, LogEvent.FAILURE, 'A task failed.', {
      err: failure,
    });
  };
}
