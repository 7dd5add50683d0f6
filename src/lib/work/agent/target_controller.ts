/** Controls an agent's target: its incarnations, its runs and its health. */
import {HeartbeatOriginCheck} from '../../decisions/heartbeat_origin.js';
import {RunEvent, RunState} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {createBackfillPlan} from '../../decisions/look_ahead.js';
import {RunRegistry} from '../../decisions/run_registry.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {LineFields} from '../../observe/request_log.js';
import {RunEndCause, TargetPhase} from '../../core/work_frames.js';
import {RunCommands} from './run_commands.js';
import {recordRun} from './run_log.js';
import type {TargetControllerOptions} from './controller_options.js';
import {describeStatus} from './target_status.js';
import {logTargetDraining, logTargetFound} from './target_log.js';
import {CrashReporter} from './crash_reporter.js';
import {IncarnationCheck} from './incarnation_check.js';
import {LeaseRenewer} from './lease_renewer.js';
import {HeartbeatRejection, RejectedHeartbeats} from './rejected_heartbeats.js';
import {TargetClient} from './target_client.js';
import {TargetLoss} from './target_loss.js';
import {TargetTakeover} from './target_takeover.js';
import {TargetHealthEstimate} from './target_health_estimate.js';
import {OrderAnswerHandler} from './order_answer_handler.js';
import {isUncertain, OrderOutcome, REASON_FENCE} from './target_api.js';
import type {
  ConfirmedIncarnation,
  OrderAnswer,
  TargetHeartbeat,
} from './target_api.js';
import {RunnerMessageKind} from './runner_messages.js';
import type {HeldAnswer, TargetAnswer} from './runner_messages.js';

/** Controls the target on behalf of the work runner, which owns it. */
export class TargetController {
  readonly runs: RunRegistry;
  readonly api: TargetClient;
  readonly health: TargetHealthEstimate;
  readonly incarnations: IncarnationCheck;

  private readonly commands: RunCommands;
  private readonly orders: OrderAnswerHandler;
  private readonly takeover: TargetTakeover;
  private readonly lease: LeaseRenewer;
  private readonly rejected: RejectedHeartbeats;
  private readonly origin = HeartbeatOriginCheck.create();
  private readonly loss: TargetLoss;
  private lostHolds = 0;
  private readonly crashes: CrashReporter;

  private constructor(private readonly options: TargetControllerOptions) {
    this.runs = RunRegistry.create(
      command => this.commands.perform(command),
      options.planAhead
        ? createBackfillPlan(() => this.health.slowness)
        : undefined,
    );
    this.api = TargetClient.create(options);
    this.rejected = RejectedHeartbeats.create(options);
    this.incarnations = IncarnationCheck.create({
      ...options,
      connect: options.connectTarget,
      token: this.api.token,
      rejected: this.rejected,
      adopt: (confirmed, nowMs) => this.adopt(confirmed, nowMs),
    });
    this.health = TargetHealthEstimate.create({
      ...options,
      runs: this.runs,
      getTarget: () => this.heartbeat?.id ?? '',
    });
    const {runs, api} = this;
    this.lease = LeaseRenewer.create({
      ...options,
      runs,
      api,
      isControlled: () => this.takeover.isComplete,
    });
    const {lease, health} = this;
    const renew = (nowMs: number) => lease.renew(nowMs);
    this.crashes = CrashReporter.create({...options, lease});
    this.commands = RunCommands.create({...options, api, health, lease});
    this.takeover = TargetTakeover.create({...options, runs, api, renew});
    const {crashes, takeover} = this;
    const lost = {runs, api, crashes, lease, takeover};
    this.loss = TargetLoss.create({...options, ...lost});
    this.orders = OrderAnswerHandler.create({
      runs,
      requests: options.requests,
      handleRefusal: (...refusal) => this.loss.handleRefusal(...refusal),
      renew,
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
    const {health, incarnations} = this;
    return hasRuns || isSettling || incarnations.isPending || health.isSuspect;
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
    this.incarnations.close();
    this.api.close();
  }

  /** Handles a heartbeat; returns whether the target began to drain with it. */
  handleHeartbeat(heartbeat: TargetHeartbeat, nowMs: number): boolean {
    const {heartbeat: latest} = this;
    if (latest === undefined || !this.api.isCurrent(heartbeat)) {
      this.incarnations.handleHeartbeat(heartbeat, nowMs);
      return false;
    }
    if (!this.origin.admit(heartbeat, latest, nowMs)) {
      const reason = HeartbeatRejection.CONTRADICTORY;
      this.rejected.recordHeartbeat(reason, heartbeat);
      return false;
    }
    this.api.updateHeartbeat(heartbeat);
    return this.applyHeartbeat(latest.phase);
  }

  /**
   * Handles a deregistration; returns whether the target began to drain with it.
   * Its runs go on until the target refuses calls: it may end later than it says,
   * and others may send the message too.
   */
  handleDeregistration(
    id: string,
    startMs: number | undefined,
    nowMs: number,
  ): boolean {
    const {heartbeat} = this;
    if (heartbeat?.id !== id) return false;
    if (startMs !== undefined && startMs !== heartbeat.startMs) return false;
    this.api.beginDrain();
    this.lease.renew(nowMs);
    return this.applyHeartbeat(heartbeat.phase);
  }

  /** Handles an answer of the target; one to an earlier incarnation has no effect. */
  handleAnswer(message: TargetAnswer, nowMs: number): void {
    if (message.incarnation !== this.heartbeat?.incarnation) return;
    switch (message.kind) {
      case RunnerMessageKind.START_ANSWER:
        this.recordAnswer(message.answer, nowMs);
        this.orders.handleStartAnswer(message, message.answer, nowMs);
        break;
      case RunnerMessageKind.STOP_ANSWER:
        this.recordAnswer(message.answer, nowMs);
        this.orders.handleStopAnswer(message, message.answer, nowMs);
        break;
      case RunnerMessageKind.HOLD_ANSWER:
        this.handleLists(message, nowMs);
        break;
    }
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
    this.incarnations.advance(nowMs);
    this.health.advance(nowMs);
    this.runs.expire(nowMs);
    this.stopStalled(nowMs);
    this.orders.repeatFailedStops(nowMs);
    if (this.lease.advance(nowMs)) this.loss.end('no answer', nowMs);
  }

  /** Builds the fields of the status line; resets its counts. */
  describeStatus(): LineFields {
    const {lostHolds} = this;
    this.lostHolds = 0;
    const counts = this.commands.reservations.takeCounts();
    return {...describeStatus(this), lostHolds, ...counts};
  }

  private adopt(confirmed: ConfirmedIncarnation, nowMs: number): void {
    const previousId = this.heartbeat?.id;
    const {heartbeat} = confirmed;
    this.crashes.endIncarnation(this.runs.listRuns(), nowMs);
    this.api.beginIncarnation(confirmed);
    this.runs.loseAll(nowMs);
    this.runs.resetEnds();
    this.api.endLongPoll();
    this.health.reset();
    this.takeover.reset();
    this.origin.reset(nowMs);
    this.loss.reset();
    this.orders.reset();
    logTargetFound(this.options.log, heartbeat);
    this.lease.renew(nowMs);
    // Another id refuses the orders that were addressed to this one.
    if (heartbeat.id !== previousId) this.runs.endUncertain(nowMs);
    this.applyHeartbeat(TargetPhase.READY);
  }

  /** Applies the latest heartbeat; returns whether the target began to drain. */
  private applyHeartbeat(previousPhase: TargetPhase): boolean {
    const {heartbeat} = this;
    if (heartbeat === undefined) return false;
    this.runs.setCapacity(heartbeat.capacity);
    const hasBegunDrain =
      heartbeat.phase === TargetPhase.DRAINING &&
      previousPhase !== TargetPhase.DRAINING;
    if (hasBegunDrain) {
      this.crashes.expectEnd();
      logTargetDraining(this.options.log, heartbeat);
    } else if (heartbeat.phase === TargetPhase.READY) {
      this.crashes.watch(heartbeat.incarnation);
    }
    return hasBegunDrain;
  }

  private handleLists(
    {answer, sentAtMs, isLongPoll, fencingToken}: HeldAnswer,
    nowMs: number,
  ): void {
    if (isLongPoll) this.api.endLongPoll();
    const isFenced = this.api.token.isCurrent(fencingToken);
    this.recordAnswer(answer, nowMs);
    if (answer.outcome !== OrderOutcome.ACCEPTED) {
      this.lostHolds += 1;
      const isTooLow = answer.reason === REASON_FENCE;
      if (isFenced && isTooLow) this.api.raiseRefusedToken(answer.clockMs);
      this.loss.handleRefusal(answer.outcome, nowMs);
      // A target that refuses the current token too must not be called in a loop.
      const isOutdated = isTooLow && !isFenced;
      if (!this.takeover.isComplete && isOutdated) this.lease.renew(nowMs);
      return;
    }
    this.loss.reset();
    if (isFenced) this.api.token.confirm();
    this.lease.recordList(nowMs);
    this.runs.applyLists(answer.running, answer.ended, sentAtMs, nowMs);
    this.takeover.handleList(answer.running, isFenced, nowMs);
    if (this.runs.listRuns().length > 0) this.lease.list(nowMs);
    else if (answer.ended.length > 0) this.lease.renew(nowMs);
  }

  private recordAnswer(answer: OrderAnswer, nowMs: number): void {
    this.api.recordAnswer(answer);
    this.crashes.recordCall(answer.outcome, nowMs);
    // Carried out late, a call would renew the lease of runs that count as over.
    if (isUncertain(answer.outcome)) this.api.token.raiseFence();
    this.health.recordCall(answer.outcome === OrderOutcome.BROKEN, nowMs);
  }

  private stopStalled(nowMs: number): void {
    for (const run of this.health.findStalled(this.lease.lastListMs, nowMs)) {
      const detail = `No progress at ${run.percent} %.`;
      this.stopRun(run, RunEndCause.HUNG, detail, nowMs);
    }
  }
}
