/** The task of an agent that decides what runs on its target. */
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

/** Number of messages that may wait at the runner. */
const MAILBOX_CAPACITY = 100_000;

/** Period of the checks for expired tasks and permission. */
const TICK_PERIOD_MS = 50;

/**
 * Owns the agent's start book and its permission to start tasks. Talks to the
 * links and to the target's keeper by messages.
 */
export class Runner {
  private readonly task: Task<RunnerMessage>;
  private readonly book: StartRegistry;
  private readonly permission: StartPermission;
  private readonly links: RunnerLinks;
  private target: TargetView = NO_TARGET;
  private judgement: PermissionDecision = {
    state: DataCentreState.UNKNOWN,
    expiresAtMs: 0,
    actions: [],
  };
  private isLeaving = false;
  private isRefusing = false;
  /** Counts since the start, for metrics. */
  readonly counters: RunnerCounters = {
    ordersTaken: 0,
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
    this.book = StartRegistry.create(options.queueLimit);
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

  /** Hands a message to the runner. */
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
        this.greet(message.link, message.streamNumber);
        break;
      case RunnerMessageKind.LINK_OPENED:
        this.openLink(message.link, message.entry);
        break;
      case RunnerMessageKind.LINK_FRAME:
        this.takeFrame(message.link, message.frame);
        break;
      case RunnerMessageKind.LINK_CLOSED:
        this.links.close(message.link, this.options.readMonotonicMs());
        break;
      case RunnerMessageKind.TARGET_CHANGED:
        this.changeTarget(message.target);
        break;
      case RunnerMessageKind.RUN_ENDED: {
        const nowMs = this.options.readMonotonicMs();
        this.addReport(
          message.task.entry,
          this.book.finish(message.task, message.end, nowMs),
        );
        break;
      }
      case RunnerMessageKind.TICK:
        this.check();
        break;
      case RunnerMessageKind.LOAD_DUE:
        this.links.flushLoads();
        break;
      case RunnerMessageKind.LEAVE:
        this.isLeaving = true;
        this.links.scheduleLoadReports();
        break;
      case RunnerMessageKind.REFUSE_WORK:
        this.isRefusing = true;
        this.addReports(this.book.refuseAll(NotStartedReason.LEAVING));
        break;
    }
    this.startTasks();
    this.reportIfIdle();
  }

  private greet(link: string, streamNumber: number): void {
    const view = this.links.getOrCreate(link);
    this.links.close(link, this.options.readMonotonicMs());
    view.pending = [];
    this.options.postToLink(link, {
      kind: LinkMessageKind.HELLO,
      hello: {
        agent: this.options.identity,
        streamNumber,
        knownEntryIncarnation: view.entry,
        highestSequence: this.book.getHighestSequence(view.entry),
        load: this.describeLoad(view.entry),
      },
    });
  }

  private openLink(link: string, entry: ProcessIdentity): void {
    const view = this.links.getOrCreate(link);
    if (view.entry !== '' && view.entry !== entry.incarnation) {
      this.book.forget(view.entry);
    }
    view.entryId = entry.id;
    view.entry = entry.incarnation;
    view.isOpen = true;
    view.pending = [...this.book.listReports(view.entry)];
    this.links.scheduleFlush();
  }

  private takeFrame(link: string, frame: EntryFrame): void {
    const view = this.links.getOrCreate(link);
    if (frame.configuration !== undefined) {
      this.learnConfiguration(frame.configuration);
    }
    if (frame.pong !== undefined) {
      this.permission.confirm(view.entryId, frame.pong);
      this.judgePermission();
    }
    this.book.acknowledge(view.entry, frame.acknowledged);
    if (frame.withdrawn.length > 0) {
      for (const report of this.book.withdraw(view.entry, frame.withdrawn)) {
        this.addReport(view.entry, report);
      }
    }
    if (frame.starts.length === 0) return;
    const window = this.describeWindow();
    for (const order of frame.starts) {
      this.counters.ordersTaken += 1;
      const refusal = this.book.receive(view.entry, order, window);
      if (refusal !== undefined) this.addReport(view.entry, refusal);
    }
    this.links.scheduleLoadReports();
  }

  private learnConfiguration(configuration: AgentConfiguration): void {
    if (!this.permission.learn(configuration)) return;
    this.options.publishConfiguration(configuration);
    this.judgePermission();
    this.links.scheduleLoadReports();
  }

  private changeTarget(target: TargetView): void {
    this.target = target;
    if (target.condition !== TargetCondition.PRESENT) {
      this.addReports(this.book.refuseAll(NotStartedReason.NO_TARGET));
    }
    this.links.scheduleLoadReports();
  }

  private check(): void {
    this.judgePermission();
    const nowMs = this.options.readMonotonicMs();
    this.addReports(this.book.expire(nowMs));
    for (const entry of this.links.expireDisconnected(nowMs))
      this.book.forget(entry);
  }

  private judgePermission(): void {
    const before = this.judgement.state;
    this.judgement = this.permission.judge(this.options.readMonotonicMs());
    if (this.judgement.actions.includes(DataCentreAction.RETURN_QUEUED)) {
      this.addReports(this.book.refuseAll(NotStartedReason.DATA_CENTRE_OUT));
    }
    if (this.judgement.state === before) return;
    this.options.reportPermission(this.judgement.state);
    this.links.scheduleLoadReports();
  }

  private startTasks(): void {
    if (this.book.queued === 0) return;
    const window = this.describeWindow();
    for (;;) {
      const task = this.book.startNext(window);
      if (task === undefined) return;
      this.counters.starts += 1;
      const waitUntilMs = task.receivedAtMs + task.order.startWithinMs;
      this.options.postToTarget({
        kind: TargetMessageKind.RUN,
        task,
        startBeforeMs: Math.min(window.permittedUntilMs, waitUntilMs),
      });
    }
  }

  // The clock is read anew for each decision: after a freeze the evidence must
  // look as old as it is.
  private describeWindow(): StartConditions {
    const nowMs = this.options.readMonotonicMs();
    const isPresent = this.target.condition === TargetCondition.PRESENT;
    return {
      nowMs,
      permittedUntilMs: this.judgement.expiresAtMs,
      refusal: this.isRefusing
        ? NotStartedReason.LEAVING
        : findRefusal(this.judgement, nowMs),
      slots: isPresent ? this.target.slots : 0,
    };
  }

  private describeLoad(entry: string): LoadReport {
    return {
      target: this.target.condition,
      targetName: this.target.name,
      targetInstance: this.target.instance,
      isPermitted: this.judgement.state === DataCentreState.IN,
      isLeaving: this.isLeaving,
      slots: this.target.slots,
      running: this.book.running,
      queued: this.book.queued,
      queueLimit: this.options.queueLimit,
      configurationRevision: this.permission.configuration.revision,
      ownOutstanding: this.book.countOutstanding(entry),
      highestSequence: this.book.getHighestSequence(entry),
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
    if (this.isLeaving && this.book.isIdle) this.options.reportIdle();
  }
}
