/** The entry process: creates its tasks and connects them. */
import {AdministrationTask} from '../admin/administration_task.js';
import {readMonotonicMs, startTimer} from '../core/clock.js';
import {DisposableStore} from '../core/disposable_store.js';
import type {ProcessIdentity} from '../core/identity.js';
import {
  ProcessAction,
  ProcessEvent,
  ProcessLifecycle,
  ProcessState,
} from '../core/process_lifecycle.js';
import {watchProcessHealth} from '../observe/process_health.js';
import {createProcessContext} from '../observe/process_context.js';
import type {ProcessContext} from '../observe/process_context.js';
import {HttpPlatformStore} from '../store/http_platform_store.js';
import {StoreContact} from '../records/configuration_view.js';
import type {
  ConfigurationEvidence,
  ConfigurationView,
} from '../records/configuration_view.js';
import type {EntrySettings} from '../settings/entry_settings.js';
import {connectPeer} from '../wire/peer_client.js';
import {openCallerListener} from './caller_listener.js';
import type {CallerListener} from './caller_listener.js';
import {ConfigurationMessageKind} from './configuration_message.js';
import {createConfigurationTask} from './configuration_factory.js';
import type {ConfigurationTask} from './configuration_task.js';
import type {Dispatcher} from './dispatcher.js';
import {createDispatcher} from './dispatcher_factory.js';
import {DispatcherMessageKind} from './dispatcher_messages.js';
import {EntryReporter} from './entry_reporter.js';
import {describeEntryStatus, listGauges} from './entry_status.js';
import {openPeerListener} from './peer_listener.js';
import {PeerManager} from './peer_manager.js';
import {PeerMessageKind} from './peer_messages.js';
import {RequestRouter} from './request_router.js';
import {RevisionWaiters} from './revision_waiters.js';

/** Longest time in milliseconds for a forwarded request. */
const FORWARD_TIMEOUT_MS = 900_000;

/** States in which this entry takes over the sessions of a stopping peer. */
const ADOPTING_STATES = new Set([ProcessState.SERVING, ProcessState.LEAVING]);

/** One entry: its listeners, its tasks and its lifecycle. */
export class EntryProcess {
  private readonly store = DisposableStore.create();
  private readonly identity: ProcessIdentity;
  private readonly lifecycle: ProcessLifecycle;
  private readonly reporter: EntryReporter;
  private readonly dispatcher: Dispatcher;
  private readonly peers: PeerManager;
  private readonly router: RequestRouter;
  private readonly revisions = RevisionWaiters.create();
  private configuration: ConfigurationTask | undefined;
  private callers: CallerListener | undefined;
  private contact = StoreContact.LOST;
  private view: ConfigurationView | undefined;
  private resolveStopped: () => void = () => undefined;
  /** Resolves when the entry has stopped and released its resources. */
  readonly stopped: Promise<void>;

  private constructor(
    private readonly settings: EntrySettings,
    context: ProcessContext,
  ) {
    const {identity, log, metrics} = context;
    this.identity = identity;
    this.reporter = EntryReporter.create(log, metrics);
    this.stopped = new Promise(resolve => (this.resolveStopped = resolve));
    this.lifecycle = ProcessLifecycle.create({
      noticeMs: settings.stop.noticeMs,
      drainMs: settings.stop.drainMs,
      startTimer,
      perform: action => this.perform(action),
      reportState: state => this.handleState(state),
    });
    this.dispatcher = this.createDispatcher();
    this.peers = PeerManager.create({
      identity,
      address: settings.advertise.peers,
      connect: connectPeer,
      forwardTimeoutMs: FORWARD_TIMEOUT_MS,
      readMonotonicMs,
      startTimer,
      reportFailure: this.reporter.reportFailure,
    });
    this.router = this.createRouter();
    this.store.add(() => metrics.close());
    const readGauges = () => listGauges(this.dispatcher);
    this.store.add(watchProcessHealth(metrics.reportGauge, readGauges));
    this.store.add(() => this.dispatcher.stop());
    this.store.add(() => this.peers.stop());
  }

  /** Creates an entry from its settings; `start` opens its listeners. */
  static async create(settings: EntrySettings): Promise<EntryProcess> {
    return new EntryProcess(
      settings,
      await createProcessContext('entry', settings),
    );
  }

  /**
   * Opens the listeners, starts the tasks and serves.
   *
   * @throws AddressError if an address of the settings cannot be listened on.
   */
  async start(): Promise<void> {
    try {
      await this.openPeerListener();
      await this.openCallerListener();
    } catch (failure) {
      await this.store.dispose();
      throw failure;
    }
    this.startConfiguration();
    await this.startAdministration();
    this.lifecycle.send(ProcessEvent.READY);
  }

  /** Begins a graceful stop; a second call changes nothing. */
  requestStop(): void {
    this.lifecycle.send(ProcessEvent.STOP);
  }

  private createDispatcher(): Dispatcher {
    return createDispatcher(this.settings, {
      identity: this.identity,
      reporter: this.reporter,
      publishHeld: incarnations =>
        void this.peers.post({kind: PeerMessageKind.OWN_HELD, incarnations}),
      reportIdle: () => this.reportIfIdle(),
    });
  }

  private createRouter(): RequestRouter {
    return RequestRouter.create({
      identity: this.identity,
      address: this.settings.advertise.peers,
      secret: this.settings.sessions.secret,
      sessionLifetimeMs: this.settings.sessions.lifetimeMs,
      postToDispatcher: message => this.dispatcher.post(message),
      findHolder: incarnation => this.peers.findHolder(incarnation),
      awaitHolder: (incarnation, resume) =>
        this.peers.post({
          kind: PeerMessageKind.AWAIT_HOLDER,
          incarnation,
          resume,
        }),
      forward: (address, request, answer) =>
        this.peers.post({
          kind: PeerMessageKind.FORWARD,
          address,
          request,
          answer,
        }),
    });
  }

  private async openPeerListener(): Promise<void> {
    const server = await openPeerListener({
      ...this.settings.listen.peers,
      identity: this.identity,
      postToDispatcher: message => this.dispatcher.post(message),
      router: this.router,
      revisions: this.revisions,
      learn: learned =>
        void this.configuration?.post({
          kind: ConfigurationMessageKind.LEARN,
          learned,
        }),
      postToPeers: message => this.peers.post(message),
      isAdopting: () => ADOPTING_STATES.has(this.lifecycle.state),
      getContact: () => this.contact,
    });
    this.store.add(() => server.close());
  }

  private async openCallerListener(): Promise<void> {
    const listener = await openCallerListener({
      ...this.settings.listen.callers,
      maxBodyBytes: this.settings.limits.bodyBytes,
      router: this.router,
      isReady: () =>
        this.lifecycle.state === ProcessState.SERVING &&
        this.dispatcher.isReady,
    });
    this.callers = listener;
    this.store.add(() => listener.close());
  }

  private async startAdministration(): Promise<void> {
    const {store, listen, administration} = this.settings;
    const task = await AdministrationTask.create({
      ...listen.administration,
      key: administration.key,
      store: HttpPlatformStore.create(store),
      prefix: store.prefix,
      readStatus: () => {
        const {identity, view, contact, dispatcher, peers} = this;
        const nowMs = readMonotonicMs();
        const own = {identity, view, contact, nowMs};
        return describeEntryStatus({...own, dispatcher, peers});
      },
      awaitMajority: (revision, timeoutMs) =>
        this.peers.awaitMajority(revision, timeoutMs),
      reportAction: this.reporter.reportAction,
      reportFailure: this.reporter.reportFailure,
      startTimer,
      drawRandom: Math.random,
    });
    this.store.add(() => task.stop());
  }

  private startConfiguration(): void {
    const configuration = createConfigurationTask(this.settings, {
      identity: this.identity,
      reporter: this.reporter,
      publishView: view => this.publishView(view),
      publishEvidence: evidence => this.publishEvidence(evidence),
    });
    this.configuration = configuration;
    this.store.add(() => configuration.stop());
  }

  private publishView(view: ConfigurationView): void {
    this.dispatcher.post({kind: DispatcherMessageKind.VIEW, view});
    this.peers.post({kind: PeerMessageKind.VIEW, view});
    this.revisions.raise(view.revision);
    this.view = view;
    this.reporter.reportView(view);
  }

  private publishEvidence(evidence: ConfigurationEvidence): void {
    this.dispatcher.post({kind: DispatcherMessageKind.EVIDENCE, evidence});
    this.contact = evidence.contact;
    this.reporter.reportContact(evidence.contact);
  }

  private perform(action: ProcessAction): void {
    switch (action) {
      case ProcessAction.REFUSE_READINESS:
        this.dispatcher.post({kind: DispatcherMessageKind.LEAVE});
        this.callers?.leave();
        break;
      case ProcessAction.REFUSE_WORK:
        this.configuration?.post({kind: ConfigurationMessageKind.LEAVE});
        this.dispatcher.post({kind: DispatcherMessageKind.REFUSE_WORK});
        break;
      case ProcessAction.HAND_OVER:
        this.handOverSessions();
        break;
      case ProcessAction.REPORT_UNFINISHED:
        this.reporter.reportDrainTimeout(this.settings.stop.drainMs);
        break;
    }
  }

  private handOverSessions(): void {
    this.dispatcher.post({
      kind: DispatcherMessageKind.LIST_KEY_TABLES,
      receive: keyTables =>
        this.peers.post({
          kind: PeerMessageKind.HAND_OVER,
          keyTables,
          reportOutcome: outcome => {
            this.reporter.reportHandOver(outcome);
            this.lifecycle.send(ProcessEvent.RELEASED);
          },
        }),
    });
  }

  private reportIfIdle(): void {
    if (this.callers?.countOpen() === 0) this.lifecycle.send(ProcessEvent.IDLE);
  }

  private handleState(state: ProcessState): void {
    this.reporter.reportState(state, this.callers?.port);
    if (state === ProcessState.STOPPED) void this.release();
  }

  private async release(): Promise<void> {
    try {
      await this.store.dispose();
    } catch (failure) {
      this.reporter.reportFailure(failure);
    }
    this.resolveStopped();
  }
}
