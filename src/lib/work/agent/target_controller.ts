/** Controls an agent's target: its incarnations, its runs and its health. */
import {RunEvent, RunState} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {RunRegistry} from '../../decisions/run_registry.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {LineFields} from '../../observe/request_log.js';
import {RunEndCause, TargetPhase} from '../../core/work_frames.js';
import {NO_RESOURCES} from '../../core/work_job.js';
import {RunCommands} from './run_commands.js';
import {recordRun} from './run_log.js';
import type {RunId, TargetControllerOptions} from './controller_options.js';
import {describeStatus} from './target_status.js';
import {
  logTargetDraining,
  logTargetFound,
  logTargetLost,
} from './target_log.js';
import {CrashReporter} from './crash_reporter.js';
import {LeaseRenewer} from './lease_renewer.js';
import {TargetClient} from './target_client.js';
import {TargetTakeover} from './target_takeover.js';
import {TargetHealthEstimate} from './target_health_estimate.js';
import {OrderAnswerHandler} from './order_answer_handler.js';
import {
  isOtherIncarnation,
  isUncertain,
  OrderOutcome,
  REASON_FENCE,
} from './target_api.js';
import type {OrderAnswer, TargetHeartbeat} from './target_api.js';
import type {HeldAnswer} from './runner_messages.js';

/** Consecutive refused connections that prove that an incarnation has ended. */
const REFUSALS_UNTIL_LOST = 2;

/** Controls the target on behalf of the work runner, which owns it. */
export class TargetController {
  readonly runs: RunRegistry;
  readonly api: TargetClient;
  readonly health: TargetHealthEstimate;

  private readonly commands: RunCommands;
  private readonly orders: OrderAnswerHandler;
  private readonly takeover: TargetTakeover;
  private readonly lease: LeaseRenewer;
  private refusals = 0;
  private lostHolds = 0;
  private readonly crashes: CrashReporter;

  private constructor(private readonly options: TargetControllerOptions) {
    this.runs = RunRegistry.create(command => this.commands.perform(command));
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
    this.crashes = CrashReporter.create(options);
    this.lease = LeaseRenewer.create({
      runs: this.runs,
      api: this.api,
      isControlled: () => this.takeover.isComplete,
    });
    this.commands = RunCommands.create({
      ...options,
      api: this.api,
      health: this.health,
      lease: this.lease,
    });
    this.takeover = TargetTakeover.create({
      ...options,
      runs: this.runs,
      api: this.api,
      renew: nowMs => this.lease.renew(nowMs),
    });
    this.orders = OrderAnswerHandler.create({
      runs: this.runs,
      requests: options.requests,
      handleRefusal: (outcome, nowMs) => this.handleRefusal(outcome, nowMs),
      renew: nowMs => this.lease.renew(nowMs),
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
    const isUsable =
      this.takeover.isComplete &&
      this.allowStart(this.options.readMonotonicMs());
    if (!isUsable) return TargetPhase.ABSENT;
    return this.heartbeat?.phase ?? TargetPhase.ABSENT;
  }

  /** Whether a run, an unknown state or a suspicion is to be watched closely. */
  get isBusy(): boolean {
    const hasRuns = this.runs.listRuns().length > 0;
    const isSettling =
      this.heartbeat !== undefined && !this.takeover.isComplete;
    return hasRuns || isSettling || this.health.isSuspect;
  }

  /** Whether no run is left but orders whose fate is uncertain. */
  get isIdle(): boolean {
    const runs = this.runs.listRuns();
    return runs.every(run => run.state === RunState.UNCERTAIN);
  }

  /** Returns whether the lease may be extended, as each start does. */
  allowStart(nowMs: number): boolean {
    return this.lease.allowExtension(nowMs);
  }

  /** Closes the connections to the target. */
  close(): void {
    this.api.close();
  }

  /** Handles a heartbeat; returns whether the target began to drain with it. */
  handleHeartbeat(heartbeat: TargetHeartbeat, nowMs: number): boolean {
    const previousPhase = this.heartbeat?.phase;
    const previousId = this.heartbeat?.id;
    if (this.api.handleHeartbeat(heartbeat)) {
      this.reset(heartbeat, nowMs);
      // Another id refuses the orders that were addressed to this one.
      if (heartbeat.id !== previousId) this.runs.endUncertain(nowMs);
    }
    this.runs.setCapacity(this.heartbeat?.capacity ?? NO_RESOURCES);
    const hasBegunDrain =
      this.heartbeat?.phase === TargetPhase.DRAINING &&
      previousPhase !== TargetPhase.DRAINING;
    if (hasBegunDrain) {
      this.crashes.expectEnd();
      logTargetDraining(this.options.log, heartbeat);
    }
    return hasBegunDrain;
  }

  /** Ends the runs of a target that leaves; ignores an earlier incarnation. */
  handleDeregistration(
    id: string,
    startMs: number | undefined,
    nowMs: number,
  ): void {
    const {heartbeat} = this;
    if (heartbeat?.id !== id) return;
    if (startMs !== undefined && startMs !== heartbeat.startMs) return;
    this.end('it deregistered', nowMs);
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
    {answer, sentAtMs, isLongPoll, fencingToken}: HeldAnswer,
    nowMs: number,
  ): void {
    if (isLongPoll) this.api.endLongPoll();
    const isFenced = this.api.isCurrentToken(fencingToken);
    this.recordAnswer(answer, nowMs);
    if (answer.outcome !== OrderOutcome.ACCEPTED) {
      this.lostHolds += 1;
      const isTooLow = answer.reason === REASON_FENCE;
      if (isFenced && isTooLow) this.api.raiseRefusedToken(answer.clockMs);
      this.handleRefusal(answer.outcome, nowMs);
      // A target that refuses the current token too must not be called in a loop.
      const isOutdated = isTooLow && !isFenced;
      if (!this.takeover.isComplete && isOutdated) this.lease.renew(nowMs);
      return;
    }
    this.refusals = 0;
    if (isFenced) this.api.confirmToken();
    this.lease.recordList(nowMs);
    this.runs.applyLists(answer.running, answer.ended, sentAtMs, nowMs);
    this.takeover.handleList(answer.running, isFenced, nowMs);
    if (this.runs.listRuns().length > 0) this.lease.list(nowMs);
    else if (answer.ended.length > 0) this.lease.renew(nowMs);
  }

  /** Ends all runs: the target's incarnation or its lease has ended. */
  end(detail: string, nowMs: number): void {
    const runs = this.runs
      .listRuns()
      .filter(run => run.state !== RunState.UNCERTAIN).length;
    if (!this.takeover.isComplete && runs === 0) return;
    this.crashes.handleEnd(detail, this.runs.listRuns(), nowMs);
    logTargetLost(this.options.log, this.heartbeat?.id, runs, detail);
    this.takeover.reset();
    this.api.endLongPoll();
    this.api.dropToken();
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
    this.orders.repeatFailedStops(nowMs);
    if (this.lease.advance(nowMs)) this.end('no answer', nowMs);
  }

  /** Builds the fields of the status line; resets the count of failed holds. */
  describeStatus(): LineFields {
    const {lostHolds} = this;
    this.lostHolds = 0;
    return {...describeStatus(this), lostHolds};
  }

  private reset(heartbeat: TargetHeartbeat, nowMs: number): void {
    const {incarnation} = heartbeat;
    this.crashes.beginIncarnation(incarnation, this.runs.listRuns(), nowMs);
    this.runs.loseAll(nowMs);
    this.runs.resetEnds();
    this.api.endLongPoll();
    this.health.reset();
    this.takeover.reset();
    this.refusals = 0;
    this.orders.reset();
    logTargetFound(this.options.log, heartbeat);
    this.lease.renew(nowMs);
  }

  private recordAnswer(answer: OrderAnswer, nowMs: number): void {
    this.api.recordAnswer(answer);
    // Carried out late, a call would renew the lease of runs that count as over.
    if (isUncertain(answer.outcome)) this.api.raiseFence();
    this.health.recordCall(answer.outcome === OrderOutcome.BROKEN, nowMs);
  }

  private handleRefusal(outcome: OrderOutcome, nowMs: number): void {
    if (isOtherIncarnation(outcome)) this.end(outcome, nowMs);
    if (outcome !== OrderOutcome.NOT_LISTENING) return;
    this.refusals += 1;
    if (this.refusals >= REFUSALS_UNTIL_LOST) this.end(outcome, nowMs);
    else this.lease.renew(nowMs);
  }

  private stopStalled(nowMs: number): void {
    for (const run of this.health.findStalled(this.lease.lastListMs, nowMs)) {
      const detail = `No progress at ${run.percent} %.`;
      this.stopRun(run, RunEndCause.HUNG, detail, nowMs);
    }
  }
}
