/** The task of an agent that decides what runs on its target. */
import {Task} from '../core/task.js';
import type {Post} from '../core/task.js';
import {repeatTimer} from '../core/clock.js';
import type {Defer, ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import {NotStartedReason, TargetCondition} from '../core/link_messages.js';
import type {
  AgentConfiguration,
  EntryFrame,
  LoadReport,
  TaskReport,
} from '../core/link_messages.js';
import {StartBook} from '../decisions/start_book.js';
import type {StartWindow} from '../decisions/start_book.js';
import {
  DataCentreAction,
  DataCentreState,
  StartPermission,
} from '../decisions/start_permission.js';
import type {PermissionJudgement} from '../decisions/start_permission.js';
import {
  LinkMessageKind,
  RunnerMessageKind,
  TargetMessageKind,
} from './runner_messages.js';
import type {
  LinkMessage,
  RunnerMessage,
  TargetMessage,
  TargetView,
} from './runner_messages.js';

/** Number of messages that may wait at the runner. */
const MAILBOX_CAPACITY = 100_000;

/** Period of the checks for expired tasks and permission. */
const TICK_PERIOD_MS = 50;

/** Shortest time between two load reports to an entry that nothing else is sent to. */
const LOAD_PERIOD_MS = 10;

const NO_TARGET: TargetView = {
  condition: TargetCondition.ABSENT,
  name: '',
  instance: '',
  slots: 0,
};

/** Counts of what an agent has done since it started. */
export interface RunnerCounters {
  ordersTaken: number;
  starts: number;
  refusals: number;
  framesSent: number;
  loadReports: number;
}

/** What the runner needs to be created. */
export interface RunnerOptions {
  readonly identity: ProcessIdentity;
  readonly queueLimit: number;
  readonly permissionFreshMs: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Gathers what one turn of the event loop produced before it is sent. */
  readonly defer: Defer;
  /** Hands a message to the link of that address. */
  readonly postToLink: (link: string, message: LinkMessage) => void;
  readonly postToTarget: Post<TargetMessage>;
  /** Is told of every newer configuration. */
  readonly publishConfiguration: (configuration: AgentConfiguration) => void;
  /** Is told when the permission's state changes. */
  readonly reportPermission: (state: DataCentreState) => void;
  /** Is told when nothing waits, runs or is unacknowledged after `LEAVE`. */
  readonly reportIdle: () => void;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}

/** What the runner knows of one link. */
interface LinkView {
  /** Name of the entry at the other end; empty before the first welcome. */
  entryId: string;
  /** Incarnation of the entry at the other end; empty before the first welcome. */
  entry: string;
  isOpen: boolean;
  /** Reports to send with the next frame. */
  pending: TaskReport[];
  isLoadStale: boolean;
}

/**
 * Owns the agent's start book and its permission to start tasks. Talks to the
 * links and to the target's keeper by messages.
 */
export class Runner {
  private readonly task: Task<RunnerMessage>;
  private readonly book: StartBook;
  private readonly permission: StartPermission;
  private readonly links = new Map<string, LinkView>();
  private target: TargetView = NO_TARGET;
  private judgement: PermissionJudgement = {
    state: DataCentreState.UNKNOWN,
    expiresAtMs: 0,
    actions: [],
  };
  private isLeaving = false;
  private isRefusing = false;
  private isFlushScheduled = false;
  private isLoadTimerRunning = false;
  /** Counts since the start, for metrics. */
  readonly counters: RunnerCounters = {
    ordersTaken: 0,
    starts: 0,
    refusals: 0,
    framesSent: 0,
    loadReports: 0,
  };

  private constructor(private readonly options: RunnerOptions) {
    this.book = StartBook.create(options.queueLimit);
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
        this.openLinkView(message.link).isOpen = false;
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
        this.isLoadTimerRunning = false;
        this.flushLoads();
        break;
      case RunnerMessageKind.LEAVE:
        this.isLeaving = true;
        this.spreadLoad();
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
    const view = this.openLinkView(link);
    view.isOpen = false;
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
    const view = this.openLinkView(link);
    if (view.entry !== '' && view.entry !== entry.incarnation) {
      this.book.forget(view.entry);
    }
    view.entryId = entry.id;
    view.entry = entry.incarnation;
    view.isOpen = true;
    view.pending = [...this.book.listReports(view.entry)];
    view.isLoadStale = true;
    this.scheduleFlush();
  }

  private takeFrame(link: string, frame: EntryFrame): void {
    const view = this.openLinkView(link);
    if (frame.configuration !== undefined) {
      this.learnConfiguration(frame.configuration);
    }
    if (frame.pong !== undefined) {
      this.permission.vouch(view.entryId, frame.pong);
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
      const refusal = this.book.take(view.entry, order, window);
      if (refusal !== undefined) this.addReport(view.entry, refusal);
    }
    this.spreadLoad();
  }

  private learnConfiguration(configuration: AgentConfiguration): void {
    if (!this.permission.learn(configuration)) return;
    this.options.publishConfiguration(configuration);
    this.judgePermission();
    this.spreadLoad();
  }

  private changeTarget(target: TargetView): void {
    this.target = target;
    if (target.condition !== TargetCondition.PRESENT) {
      this.addReports(this.book.refuseAll(NotStartedReason.NO_TARGET));
    }
    this.spreadLoad();
  }

  private check(): void {
    this.judgePermission();
    this.addReports(this.book.expire(this.options.readMonotonicMs()));
  }

  private judgePermission(): void {
    const before = this.judgement.state;
    this.judgement = this.permission.judge(this.options.readMonotonicMs());
    if (this.judgement.actions.includes(DataCentreAction.RETURN_QUEUED)) {
      this.addReports(this.book.refuseAll(NotStartedReason.DATA_CENTRE_OUT));
    }
    if (this.judgement.state === before) return;
    this.options.reportPermission(this.judgement.state);
    this.spreadLoad();
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
  private describeWindow(): StartWindow {
    const nowMs = this.options.readMonotonicMs();
    const isPresent = this.target.condition === TargetCondition.PRESENT;
    return {
      nowMs,
      permittedUntilMs: this.judgement.expiresAtMs,
      refusal: this.findRefusal(nowMs),
      slots: isPresent ? this.target.slots : 0,
    };
  }

  private findRefusal(nowMs: number): NotStartedReason {
    if (this.isRefusing) return NotStartedReason.LEAVING;
    if (this.judgement.state === DataCentreState.OUT) {
      return NotStartedReason.DATA_CENTRE_OUT;
    }
    if (this.judgement.expiresAtMs <= nowMs) {
      return NotStartedReason.NO_PERMISSION;
    }
    return NotStartedReason.NONE;
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
    for (const view of this.links.values()) {
      if (view.entry === entry && view.isOpen) view.pending.push(report);
      view.isLoadStale = true;
    }
    this.scheduleFlush();
  }

  private spreadLoad(): void {
    for (const view of this.links.values()) view.isLoadStale = true;
    this.startLoadTimer();
  }

  // One flush a turn of the event loop batches the reports of that turn.
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.options.defer(() => this.flushReports());
  }

  private flushReports(): void {
    this.isFlushScheduled = false;
    for (const [link, view] of this.links) {
      if (view.isOpen && view.pending.length > 0) this.send(link, view);
    }
    this.startLoadTimer();
  }

  private startLoadTimer(): void {
    if (this.isLoadTimerRunning) return;
    const isAnyStale = [...this.links.values()].some(
      view => view.isOpen && view.isLoadStale,
    );
    if (!isAnyStale) return;
    this.isLoadTimerRunning = true;
    this.options.startTimer(LOAD_PERIOD_MS, () =>
      this.post({kind: RunnerMessageKind.LOAD_DUE}),
    );
  }

  private flushLoads(): void {
    for (const [link, view] of this.links) {
      if (!view.isOpen || !view.isLoadStale) continue;
      this.counters.loadReports += 1;
      this.send(link, view);
    }
  }

  private send(link: string, view: LinkView): void {
    const reports = view.pending;
    view.pending = [];
    view.isLoadStale = false;
    this.counters.framesSent += 1;
    this.options.postToLink(link, {
      kind: LinkMessageKind.SEND,
      reports,
      load: this.describeLoad(view.entry),
    });
  }

  private reportIfIdle(): void {
    if (this.isLeaving && this.book.isIdle) this.options.reportIdle();
  }

  private openLinkView(link: string): LinkView {
    const known = this.links.get(link);
    if (known !== undefined) return known;
    const view: LinkView = {
      entryId: '',
      entry: '',
      isOpen: false,
      pending: [],
      isLoadStale: false,
    };
    this.links.set(link, view);
    return view;
  }
}
