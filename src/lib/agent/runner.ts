/** The agent's task that decides which tasks run on its target. */
import {RunnerLinks} from './runner_links.js';
import type {RunnerCounters} from './runner_links.js';
import type {RunnerOptions} from './runner_options.js';
import {Task} from '../core/task.js';
import type {Post} from '../core/task.js';
import {repeatTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import {NotStartedReason, TargetCondition} from '../core/link_messages.js';
import type {
  AgentConfiguration,
  EntryFrame,
  LoadReport,
  TaskReport,
} from '../core/link_messages.js';
import {StartRegistry} from '../decisions/start_registry.js';
import type {StartConditions} from '../decisions/agent_task.js';
import {
  DataCentreAction,
  DataCentreState,
  findRefusal,
  StartPermission,
} from '../decisions/start_permission.js';
import type {PermissionDecision} from '../decisions/start_permission.js';
import {
  LinkMessageKind,
  NO_TARGET,
  RunnerMessageKind,
  TargetMessageKind,
} from './runner_messages.js';
import type {RunnerMessage, TargetView} from './runner_messages.js';

/** Maximum number of messages in the runner's mailbox. */
const MAILBOX_CAPACITY = 100_000;

/** Period of the checks for expired tasks and expired permission. */
const TICK_PERIOD_MS = 50;

/**
 * Owns the agent's queue of tasks and its permission to start them. Communicates
 * with the links and the target manager by messages.
 */
export class Runner {
  private readonly task: Task<RunnerMessage>;
  private readonly starts: StartRegistry;
  private readonly permission: StartPermission;
  private readonly links: RunnerLinks;
  private target: TargetView = NO_TARGET;
  private decision: PermissionDecision = {
    state: DataCentreState.UNKNOWN,
    expiresAtMs: 0,
    actions: [],
  };
  private isLeaving = false;
  private isRefusing = false;
  /** Counters since the start, for metrics. */
  readonly counters: RunnerCounters = {
    ordersReceived: 0,
    starts: 0,
    refusals: 0,
    framesSent: 0,
    loadReports: 0,
  };

  private constructor(private readonly options: RunnerOptions) {
    this.links = RunnerLinks.create({
      counters: this.counters,
      startTimer: options.startTimer,
      defer: options.defer,
      describeLoad: entry => this.describeLoad(entry),
      postToLink: options.postToLink,
      postLoadDue: () => this.post({kind: RunnerMessageKind.LOAD_DUE}),
    });
    this.starts = StartRegistry.create(options.queueLimit);
    this.permission = StartPermission.create({
      dataCentre: options.identity.dataCentre,
      freshMs: options.permissionFreshMs,
    });
    this.task = Task.create<RunnerMessage>({
      name: 'runner',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
  }

  /** Creates the runner and starts its periodic checks. */
  static create(options: RunnerOptions): Runner {
    const runner = new Runner(options);
    const stop = repeatTimer(options.startTimer, TICK_PERIOD_MS, () =>
      runner.post({kind: RunnerMessageKind.TICK}),
    );
    runner.task.store.add(stop);
    return runner;
  }

  /** Posts a message to the runner. */
  get post(): Post<RunnerMessage> {
    return this.task.post;
  }

  /** Stops the runner's timers. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private handle(message: RunnerMessage): void {
    switch (message.kind) {
      case RunnerMessageKind.LINK_OPENING:
        this.sendHello(message.link, message.streamNumber);
        break;
      case RunnerMessageKind.LINK_OPENED:
        this.openLink(message.link, message.entry);
        break;
      case RunnerMessageKind.LINK_FRAME:
        this.handleFrame(message.link, message.frame);
        break;
      case RunnerMessageKind.LINK_CLOSED:
        this.links.close(message.link, this.options.readMonotonicMs());
        break;
      case RunnerMessageKind.TARGET_CHANGED:
        this.updateTarget(message.target);
        break;
      case RunnerMessageKind.RUN_ENDED: {
        const nowMs = this.options.readMonotonicMs();
        this.addReport(
          message.task.entry,
          this.starts.finish(message.task, message.end, nowMs),
        );
        break;
      }
      case RunnerMessageKind.TICK:
        this.checkExpiry();
        break;
      case RunnerMessageKind.LOAD_DUE:
        this.links.flushLoadReports();
        break;
      case RunnerMessageKind.LEAVE:
        this.isLeaving = true;
        this.links.scheduleLoadReports();
        break;
      case RunnerMessageKind.REFUSE_WORK:
        this.isRefusing = true;
        this.addReports(this.starts.refuseAll(NotStartedReason.LEAVING));
        break;
    }
    this.startTasks();
    this.reportIfIdle();
  }

  private sendHello(link: string, streamNumber: number): void {
    const view = this.links.getOrCreate(link);
    this.links.close(link, this.options.readMonotonicMs());
    view.pending = [];
    this.options.postToLink(link, {
      kind: LinkMessageKind.HELLO,
      hello: {
        agent: this.options.identity,
        streamNumber,
        knownEntryIncarnation: view.entry,
        highestSequence: this.starts.getHighestSequence(view.entry),
        load: this.describeLoad(view.entry),
      },
    });
  }

  private openLink(link: string, entry: ProcessIdentity): void {
    const view = this.links.getOrCreate(link);
    if (view.entry !== '' && view.entry !== entry.incarnation) {
      this.starts.forget(view.entry);
    }
    view.entryId = entry.id;
    view.entry = entry.incarnation;
    view.isOpen = true;
    view.pending = [...this.starts.listReports(view.entry)];
    this.links.scheduleFlush();
  }

  private handleFrame(link: string, frame: EntryFrame): void {
    const view = this.links.getOrCreate(link);
    if (frame.configuration !== undefined) {
      this.updateConfiguration(frame.configuration);
    }
    if (frame.pong !== undefined) {
      this.permission.confirm(view.entryId, frame.pong);
      this.checkPermission();
    }
    this.starts.acknowledge(view.entry, frame.acknowledged);
    if (frame.withdrawn.length > 0) {
      for (const report of this.starts.withdraw(view.entry, frame.withdrawn)) {
        this.addReport(view.entry, report);
      }
    }
    if (frame.starts.length === 0) return;
    const conditions = this.describeConditions();
    for (const order of frame.starts) {
      this.counters.ordersReceived += 1;
      const refusal = this.starts.receive(view.entry, order, conditions);
      if (refusal !== undefined) this.addReport(view.entry, refusal);
    }
    this.links.scheduleLoadReports();
  }

  private updateConfiguration(configuration: AgentConfiguration): void {
    if (!this.permission.adoptConfiguration(configuration)) return;
    this.options.publishConfiguration(configuration);
    this.checkPermission();
    this.links.scheduleLoadReports();
  }

  private updateTarget(target: TargetView): void {
    this.target = target;
    if (target.condition !== TargetCondition.PRESENT) {
      this.addReports(this.starts.refuseAll(NotStartedReason.NO_TARGET));
    }
    this.links.scheduleLoadReports();
  }

  private checkExpiry(): void {
    this.checkPermission();
    const nowMs = this.options.readMonotonicMs();
    this.addReports(this.starts.expire(nowMs));
    for (const entry of this.links.expireLost(nowMs)) this.starts.forget(entry);
  }

  private checkPermission(): void {
    const before = this.decision.state;
    this.decision = this.permission.judge(this.options.readMonotonicMs());
    if (this.decision.actions.includes(DataCentreAction.RETURN_QUEUED)) {
      this.addReports(this.starts.refuseAll(NotStartedReason.DATA_CENTRE_OUT));
    }
    if (this.decision.state === before) return;
    this.options.reportPermission(this.decision.state);
    this.links.scheduleLoadReports();
  }

  private startTasks(): void {
    if (this.starts.queued === 0) return;
    const conditions = this.describeConditions();
    for (;;) {
      const task = this.starts.startNext(conditions);
      if (task === undefined) return;
      this.counters.starts += 1;
      const waitUntilMs = task.receivedAtMs + task.order.startWithinMs;
      this.options.postToTarget({
        kind: TargetMessageKind.RUN,
        task,
        startBeforeMs: Math.min(conditions.permittedUntilMs, waitUntilMs),
      });
    }
  }

  // The clock is read again for each decision: after the process was frozen, the
  // permission must count as being as old as it is.
  private describeConditions(): StartConditions {
    const nowMs = this.options.readMonotonicMs();
    const isPresent = this.target.condition === TargetCondition.PRESENT;
    return {
      nowMs,
      permittedUntilMs: this.decision.expiresAtMs,
      refusal: this.isRefusing
        ? NotStartedReason.LEAVING
        : findRefusal(this.decision, nowMs),
      slots: isPresent ? this.target.slots : 0,
    };
  }

  private describeLoad(entry: string): LoadReport {
    return {
      target: this.target.condition,
      targetName: this.target.name,
      targetInstance: this.target.instance,
      isPermitted: this.decision.state === DataCentreState.IN,
      isLeaving: this.isLeaving,
      slots: this.target.slots,
      running: this.starts.running,
      queued: this.starts.queued,
      queueLimit: this.options.queueLimit,
      configurationRevision: this.permission.configuration.revision,
      ownOutstanding: this.starts.countOutstanding(entry),
      highestSequence: this.starts.getHighestSequence(entry),
    };
  }

  private addReports(
    reports: Array<[entry: string, report: TaskReport]>,
  ): void {
    for (const [entry, report] of reports) this.addReport(entry, report);
  }

  private addReport(entry: string, report: TaskReport): void {
    if (report.reason !== NotStartedReason.NONE) this.counters.refusals += 1;
    this.links.addReport(entry, report);
  }

  private reportIfIdle(): void {
    if (this.isLeaving && this.starts.isIdle) this.options.reportIdle();
  }
}
