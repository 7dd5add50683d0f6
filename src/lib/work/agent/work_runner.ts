/** The task of an agent that runs work on the target beside it. */
import type {ReadMonotonicMs, StartTimer} from '../../core/clock.js';
import {repeatTimer} from '../../core/clock.js';
import {Task} from '../../core/task.js';
import type {Post} from '../../core/task.js';
import {RunEvent, RunState} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {RunBook, RunCommandKind} from '../../decisions/run_book.js';
import type {RunCommand} from '../../decisions/run_book.js';
import {isStalled, SlownessMeter} from '../../decisions/run_progress.js';
import {TargetTrust, TrustState} from '../../decisions/target_trust.js';
import type {FleetConfiguration} from '../fleet_configuration.js';
import {
  AgentFrameKind,
  EntryFrameKind,
  NotStartedCause,
  RunEnd,
  TargetPhase,
} from '../frames.js';
import type {
  AgentFrame,
  EntryFrame,
  PeerBacklog,
  RunEndReport,
  RunOrder,
  TargetReport,
} from '../frames.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import {RequestLog} from '../../observe/request_log.js';
import {NO_RESOURCES} from '../work_job.js';
import {EntryBook} from './entry_book.js';
import type {KnownEntry} from './entry_book.js';
import {LinksMessageKind, WorkMessageKind} from './runner_messages.js';
import type {LinksMessage, WorkMessage} from './runner_messages.js';
import {TargetLink} from './target_link.js';
import type {ConnectTarget, HoldAnswer, OrderAnswer} from './target_port.js';
import {OrderOutcome} from './target_port.js';

/** What the runner needs to be created. */
export interface WorkRunnerOptions {
  readonly agent: string;
  readonly life: string;
  readonly dataCentre: string;
  readonly connectTarget: ConnectTarget;
  readonly postToLinks: Post<LinksMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly log: FleetLog;
  /** Is called once when a stop was asked for and nothing runs any more. */
  readonly reportIdle: () => void;
  readonly reportFailure: (failure: unknown) => void;
}

/** Period of checks in milliseconds. */
const TICK_MS = 50;

/**
 * Time in milliseconds between renewals of the lease while something runs. They
 * carry the lists too, and so make up for a lost answer of the watching call.
 */
const RENEW_MS = 100;

/** Time in milliseconds between two reports of what runs and what is free. */
const STATUS_PERIOD_MS = 1000;

/** Time in milliseconds between look-ups while nothing runs. */
const IDLE_LOOK_MS = 1000;

/**
 * Silence in milliseconds of an entry after which its runs are stopped. The
 * entry counts on it before it repeats them elsewhere.
 */
export const OWNER_SILENCE_MS = 600;

/** Lines of runs that may be written each second. */
const LINES_PER_SECOND = 100;

const MAILBOX_CAPACITY = 100_000;

/**
 * Runs orders of all entries on one target. It is the only caller of the
 * target: what it does not hold does not run there, and what it holds stays
 * within the target's capacity.
 */
export class WorkRunner {
  private readonly task: Task<WorkMessage>;
  private readonly book: RunBook;
  private readonly entries = EntryBook.create();
  private readonly trust = TargetTrust.create();
  private readonly slowness = SlownessMeter.create();
  private readonly target: TargetLink;
  private readonly requests: RequestLog;
  private configuration: FleetConfiguration | undefined;
  private isSynced = false;
  private isLeaving = false;
  private isReportDue = false;
  private refusals = 0;
  private renewedAtMs = 0;
  private listedAtMs = 0;
  private lostHolds = 0;
  private reportedAtMs = 0;

  private constructor(private readonly options: WorkRunnerOptions) {
    this.task = Task.create<WorkMessage>({
      name: 'work runner',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
    this.requests = RequestLog.create({
      ...options,
      linesPerSecond: LINES_PER_SECOND,
    });
    this.book = RunBook.create(command => this.perform(command));
    this.target = TargetLink.create({
      connect: options.connectTarget,
      post: message => this.task.post(message),
      readMonotonicMs: options.readMonotonicMs,
    });
  }

  /** Creates a runner that waits for its target's first beat. */
  static create(options: WorkRunnerOptions): WorkRunner {
    const runner = new WorkRunner(options);
    runner.task.store.add(() => runner.target.close());
    runner.task.store.add(
      repeatTimer(options.startTimer, TICK_MS, () =>
        runner.task.post({kind: WorkMessageKind.TICK}),
      ),
    );
    return runner;
  }

  /** Hands a message to the runner. */
  get post(): Post<WorkMessage> {
    return this.task.post;
  }

  /** Lists what waits at the entries, for the entries' pings. */
  readonly listBacklogs = (): readonly PeerBacklog[] =>
    this.entries
      .listEntries()
      .filter(entry => entry.link !== undefined && entry.backlog > 0)
      .map(({life, backlog}) => ({entry: life, backlog}));

  /** Stops the timers and closes the connections to the target. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private handle(message: WorkMessage): void {
    const nowMs = this.options.readMonotonicMs();
    switch (message.kind) {
      case WorkMessageKind.BEAT:
        this.takeBeat(message, nowMs);
        break;
      case WorkMessageKind.TARGET_LEFT:
        if (this.target.latest?.id === message.id)
          this.loseTarget('left', nowMs);
        break;
      case WorkMessageKind.START_ANSWER:
        if (this.isPresent(message.life)) {
          this.takeStartAnswer(message, message.answer, nowMs);
        }
        break;
      case WorkMessageKind.STOP_ANSWER:
        if (this.isPresent(message.life)) {
          this.takeStopAnswer(message, message.answer, nowMs);
        }
        break;
      case WorkMessageKind.HOLD_ANSWER:
        if (this.isPresent(message.life)) {
          if (message.isWatch) this.target.endWatch();
          this.takeLists(message.answer, message.sentAtMs, nowMs);
        }
        break;
      case WorkMessageKind.LINK_OPENED:
        this.greet(message.entry, message.link, nowMs);
        break;
      case WorkMessageKind.LINK_CLOSED:
        this.entries.close(message.entry, message.link);
        break;
      case WorkMessageKind.FRAME:
        this.takeFrame(message.entry, message.frame, nowMs);
        break;
      case WorkMessageKind.TICK:
        this.tick(nowMs);
        break;
      case WorkMessageKind.LEAVE:
        this.isLeaving = true;
        this.returnQueued(NotStartedCause.STOPPING, nowMs);
        break;
    }
    this.book.startNext(nowMs);
    this.scheduleReport();
  }

  private isPresent(life: string): boolean {
    return this.target.latest?.life === life;
  }

  private takeBeat(
    message: Extract<WorkMessage, {kind: WorkMessageKind.BEAT}>,
    nowMs: number,
  ): void {
    const {beat} = message;
    const phase = this.target.latest?.phase;
    if (this.target.takeBeat(beat)) {
      this.book.loseAll(nowMs);
      this.book.resetEnds();
      this.target.endWatch();
      this.trust.reset();
      this.slowness.reset();
      this.isSynced = false;
      this.refusals = 0;
      const {id, life, service} = beat;
      this.options.log(FleetEvent.TARGET_FOUND, 'A target has begun.', {
        target: id,
        targetLife: life,
        service,
      });
      this.look();
    }
    this.book.setCapacity(this.target.latest?.capacity ?? NO_RESOURCES);
    const isDraining = this.target.latest?.phase === TargetPhase.DRAINING;
    if (isDraining && phase !== TargetPhase.DRAINING) {
      this.options.log(FleetEvent.TARGET_DRAINING, 'The target drains.', {
        target: beat.id,
        sequence: beat.sequence,
      });
      this.returnQueued(NotStartedCause.TARGET_AWAY, nowMs);
    }
  }

  private takeStartAnswer(
    name: {readonly task: string; readonly run: number},
    answer: OrderAnswer,
    nowMs: number,
  ): void {
    this.target.observe(answer);
    const run = this.book.findRun(name.task, name.run);
    if (run === undefined) return;
    const {outcome, reason} = answer;
    if (outcome !== OrderOutcome.TAKEN) {
      this.logRun(run, FleetEvent.ORDER_FAILED, `Start: ${outcome} ${reason}.`);
    }
    switch (outcome) {
      case OrderOutcome.TAKEN:
        this.book.takeEvent(run, RunEvent.ACCEPTED, nowMs);
        break;
      case OrderOutcome.UNANSWERED:
        this.book.takeEvent(run, RunEvent.UNANSWERED, nowMs);
        break;
      case OrderOutcome.REFUSED:
      case OrderOutcome.NOT_SENT:
      case OrderOutcome.NOBODY:
      case OrderOutcome.OTHER_LIFE:
        this.book.takeEvent(
          run,
          RunEvent.REJECTED,
          nowMs,
          NotStartedCause.TARGET_REFUSED,
        );
        this.takeRefusal(outcome, nowMs);
        break;
    }
  }

  private takeStopAnswer(
    name: {readonly task: string; readonly run: number},
    answer: OrderAnswer,
    nowMs: number,
  ): void {
    this.target.observe(answer);
    const run = this.book.findRun(name.task, name.run);
    if (run === undefined) return;
    const isAnswered =
      answer.outcome === OrderOutcome.TAKEN ||
      answer.outcome === OrderOutcome.REFUSED;
    const event = isAnswered
      ? RunEvent.STOP_ANSWERED
      : RunEvent.STOP_UNANSWERED;
    if (isAnswered) this.renew(nowMs);
    else this.takeRefusal(answer.outcome, nowMs);
    this.book.takeEvent(run, event, nowMs);
  }

  /** Counts calls that found nobody: two in a row prove that the life is over. */
  private takeRefusal(outcome: OrderOutcome, nowMs: number): void {
    if (outcome === OrderOutcome.OTHER_LIFE) this.loseTarget(outcome, nowMs);
    if (outcome !== OrderOutcome.NOBODY) return;
    this.refusals += 1;
    if (this.refusals >= 2) this.loseTarget(outcome, nowMs);
    else this.look();
  }

  private takeLists(answer: HoldAnswer, sentAtMs: number, nowMs: number): void {
    this.target.observe(answer);
    if (answer.outcome !== OrderOutcome.TAKEN) {
      this.lostHolds += 1;
      if (answer.reason === 'fence') this.target.raiseFence(answer.clockMs);
      this.takeRefusal(answer.outcome, nowMs);
      if (!this.isSynced && answer.clockMs > 0) this.look();
      return;
    }
    this.refusals = 0;
    this.listedAtMs = nowMs;
    this.book.takeLists(answer.running, answer.ended, sentAtMs, nowMs);
    this.stopUnknown(answer);
    const hasStrangers = answer.running.some(
      row => this.book.findRun(row.task, row.run) === undefined,
    );
    if (!this.isSynced && !hasStrangers) {
      this.isSynced = true;
      this.options.log(FleetEvent.TARGET_READY, 'The target takes orders.', {
        target: this.target.latest?.id,
      });
    }
    if (this.book.listRuns().length > 0) this.target.watch(this.book.through);
    else if (answer.ended.length > 0) this.look();
  }

  /** Stops what runs there without being held: nobody would take its end. */
  private stopUnknown(answer: HoldAnswer): void {
    for (const {task, run} of answer.running) {
      if (this.book.findRun(task, run) !== undefined) continue;
      this.target.sendStop(task, run);
    }
  }

  private loseTarget(detail: string, nowMs: number): void {
    if (!this.isSynced && this.book.listRuns().length === 0) return;
    this.options.log(FleetEvent.TARGET_LOST, `The target is lost: ${detail}.`, {
      target: this.target.latest?.id,
      runs: this.book.listRuns().length,
    });
    this.isSynced = false;
    this.target.endWatch();
    this.book.loseAll(nowMs);
  }

  private greet(life: string, link: number, nowMs: number): void {
    const entry = this.entries.open(life, link, nowMs);
    this.send(entry, {
      kind: AgentFrameKind.HELLO,
      agent: this.options.agent,
      life: this.options.life,
      dataCentre: this.options.dataCentre,
      held: this.book
        .listRuns()
        .filter(run => run.owner === life)
        .map(run => ({
          task: run.order.task,
          run: run.order.run,
          job: run.order.job,
          isStarted: run.state !== RunState.QUEUED,
        })),
      ends: [...entry.ends.values()],
      through: entry.through,
    });
    const {configuration} = this;
    if (configuration !== undefined) {
      this.send(entry, {kind: AgentFrameKind.CONFIGURATION, configuration});
    }
    this.send(entry, this.describeTarget(entry));
  }

  private takeFrame(life: string, frame: EntryFrame, nowMs: number): void {
    const entry = this.entries.find(life);
    if (entry === undefined) return;
    switch (frame.kind) {
      case EntryFrameKind.HELLO:
        break;
      case EntryFrameKind.PONG:
        entry.contactMs = Math.max(entry.contactMs, frame.sentAtMs);
        entry.backlog = frame.backlog;
        break;
      case EntryFrameKind.ORDER:
        this.takeOrder(entry, frame.order, nowMs);
        break;
      case EntryFrameKind.STOP: {
        const run = this.book.findRun(frame.task, frame.run);
        if (run === undefined) break;
        this.book.takeEvent(
          run,
          RunEvent.STOP,
          nowMs,
          NotStartedCause.ON_REQUEST,
        );
        break;
      }
      case EntryFrameKind.ACKNOWLEDGE:
        this.entries.removeEnd(life, frame.task, frame.run);
        break;
      case EntryFrameKind.CONFIGURATION:
        this.takeConfiguration(frame.configuration, life, nowMs);
        break;
    }
  }

  private takeOrder(entry: KnownEntry, order: RunOrder, nowMs: number): void {
    if (order.sequence <= entry.through) return;
    entry.through = order.sequence;
    const cause = this.judgeOrder(order);
    if (cause === NotStartedCause.NONE) {
      this.book.addOrder(order, entry.life, nowMs);
      return;
    }
    const {task, run, job} = order;
    const end = RunEnd.NOT_STARTED;
    this.deliverEnd(entry.life, {task, run, job, end, cause, durationMs: 0});
  }

  private judgeOrder(order: RunOrder): NotStartedCause {
    if (this.isLeaving) return NotStartedCause.STOPPING;
    const beat = this.target.latest;
    const isServing =
      this.isSynced &&
      beat?.phase === TargetPhase.READY &&
      beat.service === order.service;
    if (!isServing) return NotStartedCause.TARGET_AWAY;
    if (this.isOut()) return NotStartedCause.DATA_CENTRE_OUT;
    if (this.book.findActive(order.task)) return NotStartedCause.TARGET_REFUSED;
    if (this.trust.state === TrustState.TRUSTED) return NotStartedCause.NONE;
    const isProbe =
      this.trust.state === TrustState.PROBING &&
      this.book.listRuns().length === 0;
    return isProbe ? NotStartedCause.NONE : NotStartedCause.TARGET_REFUSED;
  }

  private isOut(): boolean {
    const out = this.configuration?.dataCentresOut ?? [];
    return out.includes(this.options.dataCentre);
  }

  private takeConfiguration(
    configuration: FleetConfiguration,
    source: string,
    nowMs: number,
  ): void {
    const revision = this.configuration?.revision ?? 0;
    if (configuration.revision <= revision) return;
    this.configuration = configuration;
    if (this.isOut()) this.returnQueued(NotStartedCause.DATA_CENTRE_OUT, nowMs);
    // An entry that cannot reach the store hears of a change through us.
    for (const entry of this.entries.listEntries()) {
      if (entry.life === source) continue;
      this.send(entry, {kind: AgentFrameKind.CONFIGURATION, configuration});
    }
  }

  private returnQueued(cause: NotStartedCause, nowMs: number): void {
    for (const run of this.book.listRuns()) {
      if (run.state !== RunState.QUEUED) continue;
      this.book.takeEvent(run, RunEvent.STOP, nowMs, cause);
    }
  }

  private tick(nowMs: number): void {
    if (this.trust.advance(nowMs)) this.logTrust();
    this.book.expire(nowMs);
    this.stopAbandoned(nowMs);
    this.stopStalled(nowMs);
    this.keepLease(nowMs);
    this.entries.forgetOld(nowMs);
    this.reportStatus(nowMs);
    if (this.isLeaving && this.book.listRuns().length === 0) {
      const isTold = this.entries
        .listEntries()
        .every(entry => entry.link === undefined || entry.ends.size === 0);
      if (isTold) this.options.reportIdle();
    }
  }

  private reportStatus(nowMs: number): void {
    if (nowMs - this.reportedAtMs < STATUS_PERIOD_MS) return;
    this.reportedAtMs = nowMs;
    const runs = this.book.listRuns();
    this.options.log(FleetEvent.STATUS, 'Work on the target.', {
      runs: runs.length,
      queued: runs.filter(run => run.state === RunState.QUEUED).length,
      freeMilli: this.book.free.cpuMilli,
      lostHolds: this.lostHolds,
      answerLimitMs: this.target.answerLimitMs,
      slowness: this.slowness.factor,
    });
    this.lostHolds = 0;
  }

  private stopAbandoned(nowMs: number): void {
    for (const run of this.book.listRuns()) {
      const entry = this.entries.find(run.owner);
      const silentMs = nowMs - (entry?.contactMs ?? 0);
      if (silentMs <= OWNER_SILENCE_MS) continue;
      if (run.cause === NotStartedCause.OWNER_SILENT) continue;
      this.logRun(run, FleetEvent.RUN_STOPPED, 'The entry has been silent.');
      this.book.takeEvent(
        run,
        RunEvent.STOP,
        nowMs,
        NotStartedCause.OWNER_SILENT,
      );
    }
  }

  private stopStalled(nowMs: number): void {
    for (const run of this.book.listRuns()) {
      if (!isStalled(run, this.listedAtMs, this.slowness.factor)) continue;
      this.logRun(
        run,
        FleetEvent.RUN_STOPPED,
        `No progress at ${run.percent} %.`,
      );
      if (this.trust.recordHang(nowMs)) this.logTrust();
      this.book.takeEvent(run, RunEvent.STOP, nowMs, NotStartedCause.HUNG);
    }
  }

  private keepLease(nowMs: number): void {
    const hasRuns = this.book
      .listRuns()
      .some(run => run.state !== RunState.QUEUED);
    const periodMs = hasRuns || !this.isSynced ? RENEW_MS : IDLE_LOOK_MS;
    if (nowMs - this.renewedAtMs >= periodMs) this.renew(nowMs);
    if (!hasRuns) return;
    this.target.watch(this.book.through);
    if (nowMs > this.target.lapsesAtMs) this.loseTarget('no answer', nowMs);
  }

  private look(): void {
    this.renew(this.options.readMonotonicMs());
  }

  private renew(nowMs: number): void {
    this.renewedAtMs = nowMs;
    this.target.renew(this.book.through, this.isSynced);
  }

  private perform(command: RunCommand): void {
    const {run} = command;
    switch (command.kind) {
      case RunCommandKind.SEND_START:
        this.target.sendStart(run);
        this.target.watch(this.book.through);
        break;
      case RunCommandKind.SEND_STOP:
        this.target.sendStop(run.order.task, run.order.run);
        break;
      case RunCommandKind.REPORT_STARTED:
        this.logRun(run, FleetEvent.RUN_STARTED, 'The run has begun.');
        break;
      case RunCommandKind.REPORT_END:
        this.takeEnd(run, command.report);
        break;
    }
  }

  private takeEnd(run: HeldRun, report: RunEndReport): void {
    const nowMs = this.options.readMonotonicMs();
    if (report.end === RunEnd.DONE) {
      if (this.trust.recordSuccess()) this.logTrust();
      this.slowness.record(report.durationMs, run.order.estimateMs);
    } else if (report.end === RunEnd.FAILED) {
      if (this.trust.recordFailure(report.job, nowMs)) this.logTrust();
    }
    this.logRun(
      run,
      FleetEvent.RUN_ENDED,
      `The run has ended: ${report.end}.`,
      {
        end: report.end,
        cause: report.cause,
        durationMs: report.durationMs,
        percent: run.percent,
      },
    );
    const key = `${report.task}#${report.run}`;
    this.requests.finish(key, report.job, report.end !== RunEnd.DONE);
    this.deliverEnd(run.owner, report);
  }

  private deliverEnd(owner: string, report: RunEndReport): void {
    this.entries.addEnd(owner, report);
    const entry = this.entries.find(owner);
    if (entry !== undefined)
      this.send(entry, {kind: AgentFrameKind.END, report});
  }

  private send(entry: KnownEntry, frame: AgentFrame): void {
    if (entry.link === undefined) return;
    const {link} = entry;
    this.options.postToLinks({kind: LinksMessageKind.SEND, link, frame});
  }

  private scheduleReport(): void {
    if (this.isReportDue) return;
    this.isReportDue = true;
    setImmediate(() => {
      this.isReportDue = false;
      this.report();
    });
  }

  private lastReport = '';

  private report(): void {
    const present = JSON.stringify([
      this.describeTarget(undefined),
      this.entries.listEntries().map(entry => entry.through),
    ]);
    if (present === this.lastReport) return;
    this.lastReport = present;
    for (const entry of this.entries.listEntries()) {
      this.send(entry, this.describeTarget(entry));
    }
  }

  private describeTarget(entry: KnownEntry | undefined): AgentFrame {
    const beat = this.target.latest;
    const queued = this.book
      .listRuns()
      .filter(run => run.state === RunState.QUEUED);
    const report: TargetReport = {
      through: entry?.through ?? 0,
      phase: this.readPhase(),
      service: beat?.service ?? '',
      life: beat?.life ?? '',
      labels: beat?.labels ?? [],
      capacity: this.book.room,
      free: this.offerRoom(),
      waiting: queued.length,
      slowness: this.slowness.factor,
      isSuspect: this.trust.state !== TrustState.TRUSTED,
    };
    return {kind: AgentFrameKind.REPORT, report};
  }

  private readPhase(): TargetPhase {
    if (!this.isSynced) return TargetPhase.ABSENT;
    if (this.isLeaving) return TargetPhase.DRAINING;
    return this.target.latest?.phase ?? TargetPhase.ABSENT;
  }

  private offerRoom() {
    switch (this.trust.state) {
      case TrustState.TRUSTED:
        return this.book.unclaimed;
      case TrustState.SUSPECT:
        return NO_RESOURCES;
      case TrustState.PROBING:
        return this.book.listRuns().length === 0
          ? this.book.room
          : NO_RESOURCES;
    }
  }

  private logTrust(): void {
    this.options.log(
      FleetEvent.TARGET_TRUST,
      `The target is ${this.trust.state}.`,
      {target: this.target.latest?.id, state: this.trust.state},
    );
  }

  private logRun(
    run: HeldRun,
    event: FleetEvent,
    message: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    const {task, run: number, job, request} = run.order;
    this.requests.note(`${task}#${number}`, event, message, {
      job,
      request,
      task,
      run: number,
      ...fields,
    });
  }
}
