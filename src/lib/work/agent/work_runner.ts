/** The agent's task that runs work on the target beside it. */
import {Task} from '../../core/task.js';
import type {Post} from '../../core/task.js';
import {markOrphaned, RunEvent} from '../../decisions/held_run.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import {RequestLog} from '../../observe/request_log.js';
import {
  EntryFrameKind,
  RunEndCause,
  RunEnd,
  TargetPhase,
} from '../../core/work_frames.js';
import type {
  AgentFrame,
  ConfigurationSummary,
  RunOrder,
} from '../../core/work_frames.js';
import {CheckTimer} from './check_timer.js';
import type {KnownEntry} from './entry_registry.js';
import {EntryReporter} from './entry_reporter.js';
import {OwnerContacts} from './owner_contacts.js';
import {isWithoutEffect, RunnerMessageKind} from './runner_messages.js';
import type {EntryFrameMessage, RunnerMessage} from './runner_messages.js';
import {TargetController} from './target_controller.js';
import {createOutlook, describeTarget} from './target_status.js';
import type {WorkRunnerOptions} from './work_runner_options.js';

/** Period in milliseconds of the status line in the log. */
const STATUS_PERIOD_MS = 1000;

/** Maximum number of log lines about runs per second. */
const MAX_LOG_LINES_PER_SECOND = 100;

const MAILBOX_CAPACITY = 100_000;

/**
 * Runs the orders of all entries on one target. It is the only caller of the
 * target, so nothing runs there that is not in its registry, and the runs in it
 * stay within the target's capacity.
 */
export class WorkRunner {
  private readonly task: Task<RunnerMessage>;
  private readonly target: TargetController;
  private readonly entries: EntryReporter;
  private readonly contacts: OwnerContacts;
  private readonly checks: CheckTimer;
  private isDraining = false;
  private lastStatusMs = 0;

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
        linesPerSecond: MAX_LOG_LINES_PER_SECOND,
      }),
      computeContactEnd: owner => this.contacts.computeEnd(owner),
      deliverEnd: (owner, report) => this.entries.deliverEnd(owner, report),
      publishCrash: (...crash) => this.entries.publishCrash(...crash),
    });
    this.entries = EntryReporter.create({
      ...options,
      describeTarget: () => describeTarget(this.target, this.computePhase()),
      computeOutlook: createOutlook(this.target, this.computePhase, options),
    });
    this.contacts = OwnerContacts.create({
      ...options,
      findLastContactMs: owner => this.entries.find(owner)?.lastContactMs,
    });
    this.checks = CheckTimer.create({
      ...options,
      isBusy: () => this.isDraining || this.target.isBusy,
      // Runs after pending socket reads: a late timer must not find an entry
      // unreachable whose frames have arrived but are not read yet.
      check: () =>
        setImmediate(() => this.task.post({kind: RunnerMessageKind.TICK})),
    });
  }

  /** Creates a runner that waits for the target's first heartbeat. */
  static create(options: WorkRunnerOptions): WorkRunner {
    const runner = new WorkRunner(options);
    runner.task.store.add(() => runner.target.close());
    runner.task.store.add(() => runner.checks.stop());
    return runner;
  }

  /** Posts a message to this task. */
  get post(): Post<RunnerMessage> {
    return this.task.post;
  }

  /** Creates a ping to an entry, for the link manager. */
  readonly createPing = (entry: string, sentAtMs: number): AgentFrame =>
    this.entries.createPing(entry, sentAtMs);

  /** Reports the load to an entry if it has changed, for the link manager. */
  readonly reportLoad = (entry: string): void => this.entries.reportLoad(entry);

  /** Stops the timers and closes the connections to the target. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private handle(message: RunnerMessage): void {
    const nowMs = this.options.readMonotonicMs();
    this.contacts.checkSuspension(nowMs);
    const {target, entries} = this;
    switch (message.kind) {
      case RunnerMessageKind.HEARTBEAT:
        if (target.handleHeartbeat(message.heartbeat, nowMs)) {
          target.runs.returnQueued(RunEndCause.TARGET_UNAVAILABLE, nowMs);
        }
        break;
      case RunnerMessageKind.TARGET_DEREGISTERED:
        if (target.handleDeregistration(message.id, message.startMs, nowMs)) {
          target.runs.returnQueued(RunEndCause.TARGET_UNAVAILABLE, nowMs);
        }
        break;
      case RunnerMessageKind.START_ANSWER:
      case RunnerMessageKind.STOP_ANSWER:
      case RunnerMessageKind.HOLD_ANSWER:
        target.handleAnswer(message, nowMs);
        break;
      case RunnerMessageKind.CLAIM_ANSWER:
        target.incarnations.handleAnswer(message, nowMs);
        break;
      case RunnerMessageKind.LINK_OPENED: {
        const {entry, linkId, openedAtMs} = message;
        entries.openLink(entry, linkId, target.runs.listRuns(), openedAtMs);
        break;
      }
      case RunnerMessageKind.LINK_CLOSED:
        entries.closeLink(message.entry, message.linkId);
        break;
      case RunnerMessageKind.LINK_WANTED:
        entries.markWanted(message.entry, message.isWanted, nowMs);
        break;
      case RunnerMessageKind.FRAME:
        this.handleFrame(message, nowMs);
        break;
      case RunnerMessageKind.TICK:
        this.runChecks(nowMs);
        break;
      case RunnerMessageKind.DRAIN:
        this.isDraining = true;
        target.runs.returnQueued(RunEndCause.STOPPING, nowMs);
        break;
    }
    if (isWithoutEffect(message)) return;
    const mayStart = target.allowStart(nowMs);
    target.runs.startNext(
      nowMs,
      run => mayStart && this.contacts.isFresh(run.owner, nowMs),
    );
    // Returns at once the orders that do not wait for capacity.
    target.runs.expire(nowMs);
    entries.scheduleReport();
    this.checks.refresh();
  }

  private handleFrame(
    {entry: incarnation, linkId, frame}: EntryFrameMessage,
    nowMs: number,
  ): void {
    const entry = this.entries.find(incarnation);
    // The hello on the latest link lists what was received before it. An order by
    // an older link would start a run that the entry takes for lost.
    if (entry?.linkId !== linkId) return;
    switch (frame.kind) {
      case EntryFrameKind.HELLO:
      case EntryFrameKind.ENTRIES:
        break;
      case EntryFrameKind.PONG:
        entry.lastContactMs = Math.max(entry.lastContactMs, frame.sentAtMs);
        entry.backlog = frame.backlog;
        entry.revision = Math.max(entry.revision, frame.revision);
        break;
      case EntryFrameKind.ORDER:
        this.handleOrder(entry, frame.order, nowMs);
        break;
      case EntryFrameKind.STOP: {
        const run = this.target.runs.findRun(frame.task, frame.run);
        const cause = RunEndCause.STOP_REQUESTED;
        if (run === undefined) break;
        this.target.runs.applyEvent(run, RunEvent.STOP, nowMs, cause);
        break;
      }
      case EntryFrameKind.ACKNOWLEDGE:
        this.entries.acknowledge(incarnation, frame.task, frame.run);
        break;
      case EntryFrameKind.SUMMARY:
        entry.revision = Math.max(entry.revision, frame.revision);
        this.applySummary(frame, nowMs);
        break;
      case EntryFrameKind.CONFIGURATION_REQUEST:
        this.entries.configurations.request(entry, frame.revision, nowMs);
        break;
      case EntryFrameKind.CONFIGURATION:
        this.entries.configurations.deliver(frame.configuration);
        break;
    }
  }

  private handleOrder(entry: KnownEntry, order: RunOrder, nowMs: number): void {
    if (order.sequence <= entry.lastOrderSequence) return;
    entry.lastOrderSequence = order.sequence;
    // Repeated, the end of an earlier run of this number would end the new one.
    this.entries.acknowledge(entry.incarnation, order.task, order.run);
    const cause = this.checkOrder(order, entry.incarnation, nowMs);
    if (cause === RunEndCause.NONE) {
      this.target.runs.addOrder(order, entry.incarnation, nowMs);
      return;
    }
    const {task, run, job} = order;
    const report = {task, run, job, end: RunEnd.NOT_STARTED, cause};
    this.entries.deliverEnd(entry.incarnation, {...report, durationMs: 0});
  }

  private checkOrder(
    order: RunOrder,
    owner: string,
    nowMs: number,
  ): RunEndCause {
    const {target} = this;
    if (!this.contacts.isFresh(owner, nowMs)) {
      return RunEndCause.OWNER_UNREACHABLE;
    }
    if (this.isDraining) return RunEndCause.STOPPING;
    const isServing =
      target.phase === TargetPhase.READY &&
      target.heartbeat?.service === order.service;
    if (!isServing) return RunEndCause.TARGET_UNAVAILABLE;
    if (this.isEvacuated()) return RunEndCause.DATA_CENTRE_OUT;
    const isAlreadyActive = target.runs.findActive(order.task) !== undefined;
    if (isAlreadyActive || !target.health.allowRun()) {
      return RunEndCause.TARGET_REFUSED;
    }
    return RunEndCause.NONE;
  }

  private isEvacuated(): boolean {
    const {dataCentresOut} = this.entries.configurations.summary;
    return dataCentresOut.includes(this.options.dataCentre);
  }

  private applySummary(summary: ConfigurationSummary, nowMs: number): void {
    if (!this.entries.configurations.applySummary(summary)) return;
    if (!this.isEvacuated()) return;
    this.target.runs.returnQueued(RunEndCause.DATA_CENTRE_OUT, nowMs);
  }

  private runChecks(nowMs: number): void {
    // First, so that the lease of a run without an owner is not renewed.
    this.stopOrphaned(nowMs);
    this.target.advance(nowMs);
    this.entries.removeStale(nowMs);
    this.entries.closeReleased(this.target.runs.listRuns(), nowMs);
    this.entries.configurations.advance(nowMs);
    this.reportStatus(nowMs);
    const {isIdle} = this.target;
    if (this.isDraining && isIdle && this.entries.hasDeliveredEnds()) {
      this.options.reportIdle();
    }
  }

  /** Stops the runs of entries that have been without contact for too long. */
  private stopOrphaned(nowMs: number): void {
    const cause = RunEndCause.OWNER_UNREACHABLE;
    for (const run of this.target.runs.listRuns()) {
      if (run.cause === cause) continue;
      if (!this.contacts.isLost(run.owner, nowMs)) continue;
      // The owner counts from the end of the contact, not from this check.
      markOrphaned(run, this.contacts.computeEnd(run.owner));
      this.target.stopRun(run, cause, 'No contact with the entry.', nowMs);
    }
  }

  private reportStatus(nowMs: number): void {
    if (nowMs - this.lastStatusMs < STATUS_PERIOD_MS) return;
    this.lastStatusMs = nowMs;
    const status = this.target.describeStatus();
    this.options.log(FleetEvent.STATUS, 'Status of the target.', status);
  }

  private readonly computePhase = (): TargetPhase => {
    const {phase} = this.target;
    const isReady = phase === TargetPhase.READY;
    return isReady && this.isDraining ? TargetPhase.DRAINING : phase;
  };
}
