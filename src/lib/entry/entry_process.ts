/** The entry: its tasks, tied together. */
import {defer, readMonotonicMs, startTimer} from '../core/clock.js';
import {DisposableStore} from '../core/disposable_store.js';
import {drawIncarnation} from '../core/identity.js';
import type {ProcessIdentity} from '../core/identity.js';
import {Outcome} from '../core/job.js';
import {
  ProcessAction,
  ProcessEvent,
  ProcessLife,
  ProcessState,
} from '../core/process_life.js';
import {createPlacementPolicy} from '../decisions/choose_agent.js';
import {JobOrder, selectRankJob} from '../decisions/rank_job.js';
import {createLog, extendWithJob, LogEvent} from '../observe/log.js';
import type {Log} from '../observe/log.js';
import {Counter, createMetrics, Gauge, Histogram} from '../observe/metrics.js';
import type {Metrics} from '../observe/metrics.js';
import {HttpPlatformStore} from '../platform/http_platform_store.js';
import {StoreContact} from '../records/configuration_view.js';
import type {
  ConfigurationEvidence,
  ConfigurationView,
} from '../records/configuration_view.js';
import type {EntrySettings} from '../settings/entry_settings.js';
import {LogLevel} from '../settings/settings_schema.js';
import {openLinkServer} from '../wire/link_server.js';
import {connectPeer} from '../wire/peer_client.js';
import {PresenceState} from './agent_account.js';
import {openCallerFront} from './caller_front.js';
import type {CallerFront} from './caller_front.js';
import {ConfigurationMessageKind} from './configuration_message.js';
import {ConfigurationTask} from './configuration_task.js';
import {Dispatcher} from './dispatcher.js';
import type {EndedJob, EndedTask} from './job_desk.js';
import {DispatcherMessageKind} from './dispatcher_messages.js';
import {PeerKeeper, PeerMessageKind} from './peer_keeper.js';
import {RequestDesk, RequestOrigin} from './request_desk.js';
import {RevisionWaiters} from './revision_waiters.js';

/** Longest time in milliseconds for the owner of a key to answer another entry. */
const FORWARD_WITHIN_MS = 900_000;

const AGENT_EVENTS: Readonly<Record<PresenceState, LogEvent>> = {
  [PresenceState.CONNECTED]: LogEvent.AGENT_CONNECTED,
  [PresenceState.MISSING]: LogEvent.AGENT_MISSING,
  [PresenceState.GONE]: LogEvent.AGENT_GONE,
};

/** One running entry. */
export class EntryProcess {
  private readonly store = DisposableStore.create();
  private readonly life: ProcessLife;
  private readonly dispatcher: Dispatcher;
  private readonly peers: PeerKeeper;
  private readonly desk: RequestDesk;
  private readonly revisions = RevisionWaiters.create();
  private configuration: ConfigurationTask | undefined;
  private front: CallerFront | undefined;
  private contact: StoreContact | undefined;
  private resolveStopped: () => void = () => undefined;
  /** Resolves when the entry has stopped and released everything. */
  readonly stopped: Promise<void>;

  private constructor(
    private readonly settings: EntrySettings,
    private readonly identity: ProcessIdentity,
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {
    this.stopped = new Promise(resolve => (this.resolveStopped = resolve));
    this.life = ProcessLife.create({
      noticeMs: settings.stop.noticeMs,
      drainMs: settings.stop.drainMs,
      startTimer,
      perform: action => this.perform(action),
      reportState: state => this.followState(state),
    });
    this.dispatcher = this.createDispatcher();
    this.peers = PeerKeeper.create({
      identity,
      connect: connectPeer,
      forwardWithinMs: FORWARD_WITHIN_MS,
      reportFailure: this.reportFailure,
    });
    this.desk = this.createDesk();
    this.store.add(() => metrics.close());
    this.store.add(() => this.dispatcher.stop());
    this.store.add(() => this.peers.stop());
  }

  /** Creates an entry from its settings; `start` opens its sockets. */
  static async create(settings: EntrySettings): Promise<EntryProcess> {
    const identity: ProcessIdentity = {
      id: settings.process.id,
      incarnation: drawIncarnation(),
      dataCentre: settings.process.dataCentre,
    };
    const log = await createLog({
      program: 'foxtailbay-entry',
      identity,
      level: settings.log.level,
    });
    const metrics = await createMetrics({
      settings: settings.metrics,
      prefix: 'foxtailbay.entry.',
      identity,
      reportFailure: failure =>
        log.write(LogLevel.WARN, LogEvent.METRICS_FAILED, failure.message),
    });
    return new EntryProcess(settings, identity, log, metrics);
  }

  /**
   * Opens the sockets and begins to serve.
   *
   * @throws AddressError if an address of the settings cannot be listened on.
   */
  async start(): Promise<void> {
    try {
      await this.openPeerPort();
      await this.openCallerPort();
    } catch (failure) {
      await this.store.dispose();
      throw failure;
    }
    this.followConfiguration();
    this.life.send(ProcessEvent.READY);
  }

  /** Begins a graceful stop; a second call changes nothing. */
  requestStop(): void {
    this.life.send(ProcessEvent.STOP);
  }

  private createDispatcher(): Dispatcher {
    const {sessions, limits, agents, placement} = this.settings;
    return Dispatcher.create({
      identity: this.identity,
      ledger: {
        lifetimeMs: sessions.lifetimeMs,
        keysAtMost: sessions.keysAtMost,
        answerBytesAtMost: sessions.answerBytesAtMost,
      },
      limits,
      returnLimitMs: agents.returnLimitMs,
      policy: createPlacementPolicy(placement.policy),
      rankJob: selectRankJob(JobOrder.STRETCH),
      readMonotonicMs,
      startTimer,
      defer,
      drawRandom: Math.random,
      reportAgent: (state, agent) =>
        this.log.write(
          LogLevel.INFO,
          AGENT_EVENTS[state],
          `Agent ${agent.id} is ${state}.`,
          {agent: agent.id, agentDataCentre: agent.dataCentre},
        ),
      reportJob: job => this.reportJob(job),
      reportTask: task => this.reportTask(task),
      reportIdle: () => this.reportIfIdle(),
      reportFailure: this.reportFailure,
    });
  }

  private createDesk(): RequestDesk {
    return RequestDesk.create({
      identity: this.identity,
      address: this.settings.advertise.peers,
      secret: this.settings.sessions.secret,
      sessionLifetimeMs: this.settings.sessions.lifetimeMs,
      postToDispatcher: message => this.dispatcher.post(message),
      forward: (address, request, answer) =>
        void this.peers.post({
          kind: PeerMessageKind.FORWARD,
          address,
          request,
          answer,
        }),
    });
  }

  private async openPeerPort(): Promise<void> {
    const {host, port} = this.settings.listen.peers;
    const server = await openLinkServer({
      host,
      port,
      receiveFrame: (stream, frame) =>
        this.dispatcher.post(
          frame.hello === undefined
            ? {kind: DispatcherMessageKind.AGENT_FRAME, stream, frame}
            : {
                kind: DispatcherMessageKind.AGENT_HELLO,
                stream,
                hello: frame.hello,
              },
        ),
      reportClosed: stream =>
        this.dispatcher.post({
          kind: DispatcherMessageKind.AGENT_CLOSED,
          stream,
        }),
      handleForward: (request, answer) =>
        this.desk.handle(request, RequestOrigin.PEER, answer),
      handleAnnouncement: (learned, answer) => {
        this.configuration?.post({
          kind: ConfigurationMessageKind.LEARN,
          learned,
        });
        this.revisions.add(learned.revision, () =>
          answer({
            entry: this.identity,
            revision: this.revisions.current,
            contact: this.contact ?? StoreContact.LOST,
          }),
        );
      },
    });
    this.store.add(() => server.close());
  }

  private async openCallerPort(): Promise<void> {
    const {host, port} = this.settings.listen.callers;
    const front = await openCallerFront({
      host,
      port,
      bodyBytesAtMost: this.settings.limits.bodyBytes,
      desk: this.desk,
      isReady: () =>
        this.life.state === ProcessState.SERVING && this.dispatcher.isReady,
    });
    this.front = front;
    this.store.add(() => front.close());
  }

  private followConfiguration(): void {
    const {store, advertise} = this.settings;
    const configuration = ConfigurationTask.create({
      store: HttpPlatformStore.create(store),
      identity: this.identity,
      address: advertise.peers,
      prefix: store.prefix,
      watchWaitMs: store.watchWaitMs,
      callTimeoutMs: store.callTimeoutMs,
      leaseMs: store.leaseMs,
      publishView: view => this.publishView(view),
      publishEvidence: evidence => this.publishEvidence(evidence),
      reportRecord: report =>
        this.log.write(
          LogLevel.WARN,
          LogEvent.RECORD_REJECTED,
          'A version of a record is not in force.',
          {report},
        ),
      reportRegistration: state =>
        this.log.write(
          LogLevel.DEBUG,
          LogEvent.CONFIGURATION_APPLIED,
          `The registration of this entry is ${state}.`,
        ),
      reportFailure: failure =>
        this.log.write(
          LogLevel.DEBUG,
          LogEvent.STORE_LOST,
          'A call to the store failed.',
          {err: failure},
        ),
      readMonotonicMs,
      startTimer,
      drawRandom: Math.random,
    });
    this.configuration = configuration;
    this.store.add(() => configuration.stop());
  }

  private publishView(view: ConfigurationView): void {
    this.dispatcher.post({kind: DispatcherMessageKind.VIEW, view});
    this.peers.post({kind: PeerMessageKind.VIEW, view});
    this.revisions.raise(view.revision);
    this.metrics.reportGauge(Gauge.CONFIGURATION_REVISION, view.revision);
    this.log.write(
      LogLevel.INFO,
      LogEvent.CONFIGURATION_APPLIED,
      `Revision ${view.revision} is in force.`,
      {revision: view.revision, dataCentresOut: view.dataCentresOut},
    );
  }

  private publishEvidence(evidence: ConfigurationEvidence): void {
    this.dispatcher.post({kind: DispatcherMessageKind.EVIDENCE, evidence});
    if (evidence.contact === this.contact) return;
    this.contact = evidence.contact;
    const isConfirmed = evidence.contact === StoreContact.CONFIRMED;
    this.log.write(
      isConfirmed ? LogLevel.INFO : LogLevel.WARN,
      isConfirmed ? LogEvent.STORE_CONFIRMED : LogEvent.STORE_LOST,
      `Contact with the store is ${evidence.contact}.`,
    );
  }

  private perform(action: ProcessAction): void {
    switch (action) {
      case ProcessAction.REFUSE_READINESS:
        this.dispatcher.post({kind: DispatcherMessageKind.LEAVE});
        this.front?.leave();
        break;
      case ProcessAction.REFUSE_WORK:
        this.configuration?.post({kind: ConfigurationMessageKind.LEAVE});
        this.dispatcher.post({kind: DispatcherMessageKind.REFUSE_WORK});
        break;
      case ProcessAction.REPORT_UNFINISHED:
        this.log.write(
          LogLevel.WARN,
          LogEvent.UNFINISHED,
          `Work was still in progress after ${this.settings.stop.drainMs} ms.`,
        );
        break;
    }
  }

  private reportIfIdle(): void {
    if (this.front?.countOpen() === 0) this.life.send(ProcessEvent.IDLE);
  }

  private followState(state: ProcessState): void {
    switch (state) {
      case ProcessState.STARTING:
        break;
      case ProcessState.SERVING:
        this.log.write(LogLevel.INFO, LogEvent.READY, 'The entry serves.', {
          port: this.front?.port,
        });
        break;
      case ProcessState.LEAVING:
      case ProcessState.DRAINING:
        this.log.write(
          LogLevel.INFO,
          LogEvent.STOPPING,
          `The entry is ${state}.`,
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
    this.log.write(LogLevel.INFO, LogEvent.STOPPED, 'The entry has stopped.');
    this.resolveStopped();
  }

  private reportJob(job: EndedJob): void {
    const tags = {
      team: job.team,
      class: job.taskClass,
      outcome: job.outcome,
      problem: job.problem,
    };
    this.metrics.countEvent(Counter.JOB_ENDED, tags);
    this.metrics.recordDuration(Histogram.JOB_DURATION, job.durationMs, tags);
    if (job.outcome === Outcome.COMPLETE) return;
    extendWithJob(this.log, job.job, job.trace).write(
      LogLevel.INFO,
      LogEvent.JOB_ENDED,
      `The job ended: ${job.outcome}.`,
      {...tags, tasks: job.tasks, durationMs: Math.round(job.durationMs)},
    );
  }

  private reportTask(task: EndedTask): void {
    const tags = {team: task.team, class: task.taskClass, outcome: task.end};
    this.metrics.countEvent(Counter.TASK_ENDED, tags);
    this.metrics.recordDuration(Histogram.TASK_RUN, task.runMs, tags);
    this.metrics.recordDuration(Histogram.TASK_WAIT, task.queuedMs, tags);
  }

  private readonly reportFailure = (failure: unknown): void => {
    this.log.write(LogLevel.ERROR, LogEvent.FAILURE, 'A task failed.', {
      err: failure,
    });
  };
}
