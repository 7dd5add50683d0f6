/** The agent process: creates and connects its tasks. */
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

/** How long an agent that shuts down still accepts tasks, in milliseconds. */
const NOTICE_MS = 100;

const MAX_RESULT_BYTES = 1024 * 1024;

const TARGET_EVENTS: Readonly<Record<TargetState, LogEvent>> = {
  [TargetState.ABSENT]: LogEvent.TARGET_ABSENT,
  [TargetState.PRESENT]: LogEvent.TARGET_PRESENT,
  [TargetState.LEAVING]: LogEvent.TARGET_LEAVING,
};

/** An agent process. */
export class AgentProcess {
  private readonly store = DisposableStore.create();
  private readonly identity: ProcessIdentity;
  private readonly log: Log;
  private readonly lifecycle: ProcessLifecycle;
  private readonly runner: Runner;
  private readonly target: TargetManager;
  private readonly links: LinkManager;
  private listener: HttpListener | undefined;
  private resolveStopped: () => void = () => undefined;
  /** Resolves when the agent has stopped and released everything. */
  readonly stopped: Promise<void>;

  private constructor(
    private readonly settings: AgentSettings,
    context: ProcessContext,
  ) {
    const {identity, log, metrics} = context;
    this.identity = identity;
    this.log = log;
    this.store.add(() => metrics.close());
    this.store.add(watchProcessHealth(metrics.reportGauge));
    this.stopped = new Promise(resolve => (this.resolveStopped = resolve));
    this.lifecycle = ProcessLifecycle.create({
      noticeMs: NOTICE_MS,
      drainMs: settings.stop.drainMs,
      startTimer,
      perform: action => this.perform(action),
      reportState: state => this.handleState(state),
    });
    this.runner = this.createRunner();
    this.target = this.createTargetManager();
    this.links = this.createLinkManager();
    this.store.add(() => this.target.stop());
    this.store.add(() => this.runner.stop());
    this.store.add(() => this.links.stop());
  }

  /** Creates an agent from its settings; `start` opens its sockets. */
  static async create(settings: AgentSettings): Promise<AgentProcess> {
    return new AgentProcess(
      settings,
      await createProcessContext('agent', settings),
    );
  }

  /**
   * Opens the sockets and starts serving.
   *
   * @throws AddressError if it cannot listen on the address in the settings.
   */
  async start(): Promise<void> {
    const {host, port} = this.settings.listen.targets;
    const listener = await openAnnouncementListener({
      host,
      port,
      leaseMs: this.settings.target.leaseMs,
      postToTarget: message => this.target.post(message),
      isReady: () => this.lifecycle.state === ProcessState.SERVING,
    });
    this.listener = listener;
    this.store.add(() => listener.close());
    this.links.openSeeds();
    this.lifecycle.send(ProcessEvent.READY);
  }

  /** Starts a graceful shutdown; further calls have no effect. */
  requestStop(): void {
    this.lifecycle.send(ProcessEvent.STOP);
  }

  private createRunner(): Runner {
    return Runner.create({
      identity: this.identity,
      queueLimit: this.settings.target.queueLimit,
      permissionFreshMs: this.settings.permission.freshMs,
      readMonotonicMs,
      startTimer,
      defer,
      postToLink: (link, message) => this.links.postToLink(link, message),
      postToTarget: message => this.target.post(message),
      publishConfiguration: configuration =>
        this.links.post({
          kind: LinkManagerMessageKind.CONFIGURATION,
          configuration,
        }),
      reportPermission: state => this.reportPermission(state),
      reportIdle: () => this.lifecycle.send(ProcessEvent.IDLE),
      reportFailure: this.reportFailure,
    });
  }

  private createTargetManager(): TargetManager {
    return TargetManager.create({
      leaseMs: this.settings.target.leaseMs,
      resultBytesAtMost: MAX_RESULT_BYTES,
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

  private createLinkManager(): LinkManager {
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
        this.lifecycle.send(ProcessEvent.RELEASED);
        break;
      case ProcessAction.REPORT_UNFINISHED:
        this.log.write(
          LogLevel.WARN,
          LogEvent.WORK_UNFINISHED,
          `Tasks were still in progress after the drain limit of ${this.settings.stop.drainMs} ms.`,
        );
        break;
    }
  }

  private handleState(state: ProcessState): void {
    switch (state) {
      case ProcessState.STARTING:
        break;
      case ProcessState.SERVING:
        this.log.write(LogLevel.INFO, LogEvent.READY, 'The agent is ready.', {
          port: this.listener?.port,
        });
        break;
      case ProcessState.LEAVING:
      case ProcessState.DRAINING:
      case ProcessState.RELEASING:
        this.log.write(
          LogLevel.INFO,
          LogEvent.STOPPING,
          `The agent is shutting down; state: ${state}.`,
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
      `Start permission changed: the state of the data centre is "${state}".`,
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
    this.log.write(
      LogLevel.ERROR,
      LogEvent.FAILURE,
      'An internal task of the agent failed.',
      {
        err: failure,
      },
    );
  };
}
