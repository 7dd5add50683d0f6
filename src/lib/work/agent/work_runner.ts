/** The task of an agent that runs work on the target beside it. */
import type {ReadMonotonicMs, StartTimer} from '../../core/clock.js';
import {repeatTimer} from '../../core/clock.js';
import {Task} from '../../core/task.js';
import type {Post} from '../../core/task.js';
import {RunEvent} from '../../decisions/held_run.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import {RequestLog} from '../../observe/request_log.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import {
  EntryFrameKind,
  RunEndCause,
  RunEnd,
  TargetPhase,
} from '../../core/work_frames.js';
import type {
  EntryFrame,
  PeerBacklog,
  RunOrder,
} from '../../core/work_frames.js';
import type {KnownEntry} from './entry_registry.js';
import {EntryReporter} from './entry_reporter.js';
import {RunnerMessageKind} from './runner_messages.js';
import type {LinkMessage, RunnerMessage} from './runner_messages.js';
import {TargetController} from './target_controller.js';
import type {ConnectTarget} from './target_connection.js';

/** What the runner needs to be created. */
export interface WorkRunnerOptions {
  readonly agent: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly connectTarget: ConnectTarget;
  readonly postToLinks: Post<LinkMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
  /** Is called when a stop was asked for and nothing runs any more. */
  readonly reportIdle: () => void;
  readonly reportFailure: (failure: unknown) => void;
}

/** Period of checks in milliseconds. */
const TICK_MS = 50;

/**
 * Silence in milliseconds of an entry after which its runs are stopped. The
 * entry counts on it before it repeats them elsewhere.
 */
export const OWNER_CONTACT_TIMEOUT_MS = 600;

/** Time in milliseconds between two reports of what runs and what is free. */
const STATUS_PERIOD_MS = 1000;

/** Lines of runs that may be written each second. */
const LINES_PER_SECOND = 100;

const MAILBOX_CAPACITY = 100_000;

/**
 * Runs orders of all entries on one target. It is the only caller of the
 * target: what it does not hold does not run there, and what it holds stays
 * within the target's capacity.
 */
export class WorkRunner {
  private readonly task: Task<RunnerMessage>;
  private readonly target: TargetController;
  private readonly owners: EntryReporter;
  private configuration: FleetConfiguration | undefined;
  private isLeaving = false;
  private reportedAtMs = 0;

  private constructor(private readonly options: WorkRunnerOptions) {
    this.task = Task.create<RunnerMessage>({
      name: 'work runner',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
    this.target = TargetController.create({
      ...options,
      post: message => this.task.post(message),
      requests: RequestLog.create({
        ...options,
        linesPerSecond: LINES_PER_SECOND,
      }),
      deliverEnd: (owner, report) => this.owners.deliverEnd(owner, report),
    });
    this.owners = EntryReporter.create({
      ...options,
      describeTarget: () => ({
        ...this.target.describe(),
        phase: this.readPhase(),
      }),
    });
  }

  /** Creates a runner that waits for its target's first beat. */
  static create(options: WorkRunnerOptions): WorkRunner {
    const runner = new WorkRunner(options);
    runner.task.store.add(() => runner.target.close());
    runner.task.store.add(
      repeatTimer(options.startTimer, TICK_MS, () =>
        // After the sockets: a late timer must not take a reader for silent.
        setImmediate(() => runner.task.post({kind: RunnerMessageKind.TICK})),
      ),
    );
    return runner;
  }

  /** Hands a message to the runner. */
  get post(): Post<RunnerMessage> {
    return this.task.post;
  }

  /** Lists what waits at the entries, for the entries' pings. */
  readonly listBacklogs = (): readonly PeerBacklog[] =>
    this.owners.listBacklogs();

  /** Stops the timers and closes the connections to the target. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private handle(message: RunnerMessage): void {
    const nowMs = this.options.readMonotonicMs();
    const {target, owners} = this;
    switch (message.kind) {
      case RunnerMessageKind.HEARTBEAT:
        if (target.handleHeartbeat(message.beat, nowMs)) {
          target.runs.returnQueued(RunEndCause.TARGET_UNAVAILABLE, nowMs);
        }
        break;
      case RunnerMessageKind.TARGET_LEFT:
        if (target.heartbeat?.id === message.id)
          target.markLost('it left', nowMs);
        break;
      case RunnerMessageKind.START_ANSWER:
        if (target.heartbeat?.incarnation === message.life) {
          target.handleStartAnswer(message, message.answer, nowMs);
        }
        break;
      case RunnerMessageKind.STOP_ANSWER:
        if (target.heartbeat?.incarnation === message.life) {
          target.handleStopAnswer(message, message.answer, nowMs);
        }
        break;
      case RunnerMessageKind.HOLD_ANSWER:
        if (target.heartbeat?.incarnation === message.life) {
          const {answer, sentAtMs, isWatch} = message;
          target.handleHoldAnswer(answer, sentAtMs, isWatch, nowMs);
        }
        break;
      case RunnerMessageKind.LINK_OPENED: {
        const {entry, link} = message;
        const runs = target.runs.listRuns();
        owners.openLink(entry, link, runs, this.configuration, nowMs);
        break;
      }
      case RunnerMessageKind.LINK_CLOSED:
        owners.closeLink(message.entry, message.link);
        break;
      case RunnerMessageKind.FRAME:
        this.takeFrame(message.entry, message.frame, nowMs);
        break;
      case RunnerMessageKind.TICK:
        this.runChecks(nowMs);
        break;
      case RunnerMessageKind.DRAIN:
        this.isLeaving = true;
        target.runs.returnQueued(RunEndCause.STOPPING, nowMs);
        break;
    }
    target.runs.startNext(nowMs);
    owners.scheduleReport();
  }

  private takeFrame(life: string, frame: EntryFrame, nowMs: number): void {
    const entry = this.owners.find(life);
    if (entry === undefined) return;
    switch (frame.kind) {
      case EntryFrameKind.HELLO:
        break;
      case EntryFrameKind.PONG:
        entry.lastContactMs = Math.max(entry.lastContactMs, frame.sentAtMs);
        entry.backlog = frame.backlog;
        break;
      case EntryFrameKind.ORDER:
        this.takeOrder(entry, frame.order, nowMs);
        break;
      case EntryFrameKind.STOP: {
        const run = this.target.runs.findRun(frame.task, frame.run);
        const cause = RunEndCause.STOP_REQUESTED;
        if (run === undefined) break;
        this.target.runs.applyEvent(run, RunEvent.STOP, nowMs, cause);
        break;
      }
      case EntryFrameKind.ACKNOWLEDGE:
        this.owners.acknowledge(life, frame.task, frame.run);
        break;
      case EntryFrameKind.CONFIGURATION:
        this.takeConfiguration(frame.configuration, life, nowMs);
        break;
    }
  }

  private takeOrder(entry: KnownEntry, order: RunOrder, nowMs: number): void {
    if (order.sequence <= entry.lastOrderSequence) return;
    entry.lastOrderSequence = order.sequence;
    const cause = this.judgeOrder(order);
    if (cause === RunEndCause.NONE) {
      this.target.runs.addOrder(order, entry.incarnation, nowMs);
      return;
    }
    const {task, run, job} = order;
    const end = RunEnd.NOT_STARTED;
    const report = {task, run, job, end, cause, durationMs: 0};
    this.owners.deliverEnd(entry.incarnation, report);
  }

  private judgeOrder(order: RunOrder): RunEndCause {
    const {target} = this;
    if (this.isLeaving) return RunEndCause.STOPPING;
    const isServing =
      target.phase === TargetPhase.READY &&
      target.heartbeat?.service === order.service;
    if (!isServing) return RunEndCause.TARGET_UNAVAILABLE;
    if (this.isOut()) return RunEndCause.DATA_CENTRE_OUT;
    const isHeld = target.runs.findActive(order.task) !== undefined;
    if (isHeld || !target.health.allowRun()) {
      return RunEndCause.TARGET_REFUSED;
    }
    return RunEndCause.NONE;
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
    if (this.isOut()) {
      this.target.runs.returnQueued(RunEndCause.DATA_CENTRE_OUT, nowMs);
    }
    // An entry that cannot reach the store hears of a change through us.
    this.owners.publishConfiguration(configuration, source);
  }

  private runChecks(nowMs: number): void {
    this.target.advance(nowMs);
    this.stopAbandoned(nowMs);
    this.owners.removeStale(nowMs);
    this.reportStatus(nowMs);
    const isIdle = this.target.runs.listRuns().length === 0;
    if (this.isLeaving && isIdle && this.owners.hasDeliveredEnds()) {
      this.options.reportIdle();
    }
  }

  /** Stops the runs of entries that have been silent for too long. */
  private stopAbandoned(nowMs: number): void {
    const cause = RunEndCause.OWNER_UNREACHABLE;
    for (const run of this.target.runs.listRuns()) {
      const contactMs = this.owners.find(run.owner)?.lastContactMs ?? 0;
      const isSilent = nowMs - contactMs > OWNER_CONTACT_TIMEOUT_MS;
      if (!isSilent || run.cause === cause) continue;
      this.target.stopRun(run, cause, 'The entry has been silent.', nowMs);
    }
  }

  private reportStatus(nowMs: number): void {
    if (nowMs - this.reportedAtMs < STATUS_PERIOD_MS) return;
    this.reportedAtMs = nowMs;
    const status = this.target.describeStatus();
    this.options.log(FleetEvent.STATUS, 'Work on the target.', status);
  }

  private readPhase(): TargetPhase {
    const {phase} = this.target;
    const isReady = phase === TargetPhase.READY;
    return isReady && this.isLeaving ? TargetPhase.DRAINING : phase;
  }
}
