/** Controls an agent's target: its incarnations, its runs and its health. */
import {RunEvent, RunState} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {RunRegistry} from '../../decisions/run_registry.js';
import {RunCommandKind} from '../../decisions/run_command.js';
import type {RunCommand} from '../../decisions/run_command.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {LineFields} from '../../observe/request_log.js';
import {RunEndCause, TargetPhase} from '../../core/work_frames.js';
import type {RunEndReport} from '../../core/work_frames.js';
import {NO_RESOURCES} from '../../core/work_job.js';
import {recordRun, recordRunEnd, recordRunStart} from './run_log.js';
import type {RunId, TargetControllerOptions} from './controller_options.js';
import {describeStatus} from './target_status.js';
import {
  logTargetDraining,
  logTargetFound,
  logTargetLost,
  logTargetReady,
} from './target_log.js';
import {TargetClient} from './target_client.js';
import {TargetHealthEstimate} from './target_health_estimate.js';
import {OrderAnswerHandler} from './order_answer_handler.js';
import {OrderOutcome} from './target_api.js';
import type {HoldAnswer, OrderAnswer, TargetHeartbeat} from './target_api.js';

/** Time in milliseconds without a run list after which a long poll's counts as lost. */
const RENEW_PERIOD_MS = 150;

/** Period in milliseconds of the hold calls while nothing runs. */
const IDLE_PERIOD_MS = 1000;

/** Consecutive refused connections that prove that an incarnation has ended. */
const REFUSALS_UNTIL_LOST = 2;

/** Outcomes that prove the end of an incarnation; a lapsed lease does not. */
const PROOFS_OF_CRASH: ReadonlySet<string> = new Set([
  OrderOutcome.OTHER_INCARNATION,
  OrderOutcome.NOT_LISTENING,
]);

/** Controls the target on behalf of the work runner, which owns it. */
export class TargetController {
  readonly runs: RunRegistry;
  readonly api: TargetClient;
  readonly health: TargetHealthEstimate;

  private readonly orders: OrderAnswerHandler;
  private isSynced = false;
  private refusals = 0;
  private lastRenewalMs = 0;
  private lastListMs = 0;
  private lostHolds = 0;
  /** The target's incarnation while its end would be a crash; empty otherwise. */
  private crashableLife = '';

  private constructor(private readonly options: TargetControllerOptions) {
    this.runs = RunRegistry.create(command => this.performCommand(command));
    this.api = TargetClient.create({
      connect: options.connectTarget,
      post: options.post,
      readMonotonicMs: options.readMonotonicMs,
    });
    this.health = TargetHealthEstimate.create({
      ...options,
      runs: this.runs,
      getTarget: () => this.heartbeat?.id ?? '',
    });
    this.orders = OrderAnswerHandler.create({
      runs: this.runs,
      requests: options.requests,
      handleRefusal: (outcome, nowMs) => this.handleRefusal(outcome, nowMs),
      renew: nowMs => this.renew(nowMs),
    });
  }

  /** Creates a controller that waits for the first heartbeat. */
  static create(options: TargetControllerOptions): TargetController {
    return new TargetController(options);
  }

  /** The latest heartbeat of the current incarnation. */
  get heartbeat(): TargetHeartbeat | undefined {
    return this.api.heartbeat;
  }

  /** The target's phase; `ABSENT` until it is known what runs there. */
  get phase(): TargetPhase {
    if (!this.isSynced) return TargetPhase.ABSENT;
    return this.heartbeat?.phase ?? TargetPhase.ABSENT;
  }

  /** Whether a run, an unknown state or a suspicion is to be watched closely. */
  get isBusy(): boolean {
    const hasRuns = this.runs.listRuns().length > 0;
    const isSettling = this.heartbeat !== undefined && !this.isSynced;
    return hasRuns || isSettling || this.health.isSuspect;
  }

  /** Closes the connections to the target. */
  close(): void {
    this.api.close();
  }

  /** Handles a heartbeat; returns whether the target began to drain with it. */
  handleHeartbeat(heartbeat: TargetHeartbeat, nowMs: number): boolean {
    const previousPhase = this.heartbeat?.phase;
    if (this.api.handleHeartbeat(heartbeat)) this.reset(heartbeat, nowMs);
    this.runs.setCapacity(this.heartbeat?.capacity ?? NO_RESOURCES);
    const hasBegunDrain =
      this.heartbeat?.phase === TargetPhase.DRAINING &&
      previousPhase !== TargetPhase.DRAINING;
    if (hasBegunDrain) {
      // From now on its end is planned.
      this.crashableLife = '';
      logTargetDraining(this.options.log, heartbeat);
    }
    return hasBegunDrain;
  }

  /** Handles the answer to a start order. */
  handleStartAnswer(id: RunId, answer: OrderAnswer, nowMs: number): void {
    this.recordAnswer(answer, nowMs);
    this.orders.handleStartAnswer(id, answer, nowMs);
  }

  /** Handles the answer to a stop order. */
  handleStopAnswer(id: RunId, answer: OrderAnswer, nowMs: number): void {
    this.recordAnswer(answer, nowMs);
    this.orders.handleStopAnswer(id, answer, nowMs);
  }

  /** Handles the answer to a hold call: the lists of running and ended runs. */
  handleHoldAnswer(
    answer: HoldAnswer,
    sentAtMs: number,
    isLongPoll: boolean,
    nowMs: number,
  ): void {
    if (isLongPoll) this.api.endLongPoll();
    this.recordAnswer(answer, nowMs);
    if (answer.outcome !== OrderOutcome.ACCEPTED) {
      this.lostHolds += 1;
      if (answer.reason === 'fence') this.api.raiseToken(answer.clockMs);
      this.handleRefusal(answer.outcome, nowMs);
      if (!this.isSynced && answer.clockMs > 0) this.renew(nowMs);
      return;
    }
    this.refusals = 0;
    this.lastListMs = nowMs;
    this.runs.applyLists(answer.running, answer.ended, sentAtMs, nowMs);
    this.stopUnknown(answer);
    if (this.runs.listRuns().length > 0) this.api.list(this.runs.lastEndNumber);
    else if (answer.ended.length > 0) this.renew(nowMs);
  }

  /** Ends all runs: the target's incarnation or its lease has ended. */
  end(detail: string, nowMs: number): void {
    const runs = this.runs.listRuns().length;
    if (!this.isSynced && runs === 0) return;
    if (PROOFS_OF_CRASH.has(detail)) this.publishCrash(nowMs);
    logTargetLost(this.options.log, this.heartbeat?.id, runs, detail);
    this.isSynced = false;
    this.api.endLongPoll();
    this.runs.loseAll(nowMs);
  }

  /** Stops a run and logs the reason. */
  stopRun(
    run: HeldRun,
    cause: RunEndCause,
    detail: string,
    nowMs: number,
  ): void {
    recordRun(this.options.requests, run, FleetEvent.RUN_STOPPED, detail);
    this.runs.applyEvent(run, RunEvent.STOP, nowMs, cause);
  }

  /** Performs what is due: probes, queue expiry, stalled runs, lease. */
  advance(nowMs: number): void {
    this.health.advance(nowMs);
    this.runs.expire(nowMs);
    this.stopStalled(nowMs);
    this.orders.repeatBrokenStops(nowMs);
    this.renewWhenDue(nowMs);
  }

  /** Builds the fields of the status line; resets the count of failed holds. */
  describeStatus(): LineFields {
    const {lostHolds} = this;
    this.lostHolds = 0;
    return {...describeStatus(this), lostHolds};
  }

  private reset(heartbeat: TargetHeartbeat, nowMs: number): void {
    this.publishCrash(nowMs);
    this.crashableLife = heartbeat.incarnation;
    this.runs.loseAll(nowMs);
    this.runs.resetEnds();
    this.api.endLongPoll();
    this.health.reset();
    this.isSynced = false;
    this.refusals = 0;
    this.orders.reset();
    logTargetFound(this.options.log, heartbeat);
    this.renew(nowMs);
  }

  /** Publishes the crash of the incarnation on which the runs were started. */
  private publishCrash(nowMs: number): void {
    const life = this.crashableLife;
    this.crashableLife = '';
    if (life === '') return;
    this.options.publishCrash(life, this.runs.listRuns(), nowMs);
  }

  private recordAnswer(answer: OrderAnswer, nowMs: number): void {
    this.api.recordAnswer(answer);
    this.health.recordCall(answer.outcome === OrderOutcome.BROKEN, nowMs);
  }

  private handleRefusal(outcome: OrderOutcome, nowMs: number): void {
    if (outcome === OrderOutcome.OTHER_INCARNATION) this.end(outcome, nowMs);
    if (outcome !== OrderOutcome.NOT_LISTENING) return;
    this.refusals += 1;
    if (this.refusals >= REFUSALS_UNTIL_LOST) this.end(outcome, nowMs);
    else this.renew(nowMs);
  }

  /**
   * Stops runs on the target that are not in the registry: nothing would handle
   * their end, and they use capacity. Orders are accepted once none are left.
   */
  private stopUnknown(answer: HoldAnswer): void {
    const unknownRuns = answer.running.filter(
      row => this.runs.findRun(row.task, row.run) === undefined,
    );
    for (const {task, run} of unknownRuns) this.api.sendStop(task, run);
    if (this.isSynced || unknownRuns.length > 0) return;
    this.isSynced = true;
    logTargetReady(this.options.log, this.heartbeat?.id ?? '');
  }

  private stopStalled(nowMs: number): void {
    for (const run of this.health.findStalled(this.lastListMs, nowMs)) {
      const detail = `No progress at ${run.percent} %.`;
      this.stopRun(run, RunEndCause.HUNG, detail, nowMs);
    }
  }

  private renewWhenDue(nowMs: number): void {
    const hasRuns = this.runs
      .listRuns()
      .some(run => run.state !== RunState.QUEUED);
    const periodMs =
      hasRuns || !this.isSynced ? RENEW_PERIOD_MS : IDLE_PERIOD_MS;
    const lastMs = Math.max(this.lastRenewalMs, this.lastListMs);
    if (nowMs - lastMs >= periodMs) this.renew(nowMs);
    if (!hasRuns) return;
    this.api.list(this.runs.lastEndNumber);
    if (nowMs > this.api.leaseExpiresAtMs) this.end('no answer', nowMs);
  }

  private renew(nowMs: number): void {
    this.lastRenewalMs = nowMs;
    this.api.renew(this.runs.lastEndNumber, this.isSynced);
  }

  private performCommand(command: RunCommand): void {
    const {run} = command;
    switch (command.kind) {
      case RunCommandKind.SEND_START:
        this.api.sendStart(run);
        this.api.list(this.runs.lastEndNumber);
        break;
      case RunCommandKind.SEND_STOP:
        this.api.sendStop(run.order.task, run.order.run);
        break;
      case RunCommandKind.REPORT_STARTED:
        recordRunStart(this.options.requests, run);
        break;
      case RunCommandKind.REPORT_END:
        this.handleRunEnd(run, command.report);
        break;
    }
  }

  private handleRunEnd(run: HeldRun, report: RunEndReport): void {
    this.health.recordEnd(report, run.order.estimateMs);
    recordRunEnd(this.options.requests, run, report);
    this.options.metrics.countRun(report.end, report.durationMs);
    this.options.deliverEnd(run.owner, report);
  }
}
