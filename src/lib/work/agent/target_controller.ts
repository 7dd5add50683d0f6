/** The target beside an agent: its lives, its runs, what is believed of it. */
import {RunEvent, RunState} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {RunRegistry} from '../../decisions/run_registry.js';
import {RunCommandKind} from '../../decisions/run_command.js';
import type {RunCommand} from '../../decisions/run_command.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {LineFields} from '../../observe/request_log.js';
import {RunEndCause, TargetPhase} from '../../core/work_frames.js';
import type {RunEndReport, TargetReport} from '../../core/work_frames.js';
import {NO_RESOURCES} from '../../core/work_job.js';
import {recordRun, recordRunEnd, recordRunStart} from './run_log.js';
import type {
  AnsweredRun,
  TargetControllerOptions,
} from './target_controller_options.js';
import {describeStatus, describeTarget} from './target_status.js';
import {TargetClient} from './target_client.js';
import {TargetHealthEstimate} from './target_health_estimate.js';
import {isAnswer, OrderOutcome} from './target_connection.js';
import type {
  HoldAnswer,
  OrderAnswer,
  TargetHeartbeat,
} from './target_connection.js';

/**
 * Time in milliseconds between renewals of the lease while something runs. They
 * carry the lists too, and so make up for a lost answer of the watching call.
 */
const RENEW_MS = 100;

/** Time in milliseconds between look-ups while nothing runs. */
const IDLE_LOOK_MS = 1000;

/** Calls in a row that find nobody: proof that a life is over. */
const REFUSALS = 2;

/** Speaks with the target for the runner, which owns it. */
export class TargetController {
  readonly runs: RunRegistry;
  readonly client: TargetClient;
  readonly health: TargetHealthEstimate;

  private isSynced = false;
  private refusals = 0;
  private renewedAtMs = 0;
  private listedAtMs = 0;
  private lostHolds = 0;

  private constructor(private readonly options: TargetControllerOptions) {
    this.runs = RunRegistry.create(command => this.perform(command));
    this.client = TargetClient.create({
      connect: options.connectTarget,
      post: options.post,
      readMonotonicMs: options.readMonotonicMs,
    });
    this.health = TargetHealthEstimate.create({
      ...options,
      runs: this.runs,
      getTarget: () => this.heartbeat?.id ?? '',
    });
  }

  /** Creates a desk that waits for the first beat. */
  static create(options: TargetControllerOptions): TargetController {
    return new TargetController(options);
  }

  /** The latest beat of the present life. */
  get heartbeat(): TargetHeartbeat | undefined {
    return this.client.heartbeat;
  }

  /** What the target offers: nothing before it is known what runs there. */
  get phase(): TargetPhase {
    if (!this.isSynced) return TargetPhase.ABSENT;
    return this.heartbeat?.phase ?? TargetPhase.ABSENT;
  }

  /** Closes the connections. */
  close(): void {
    this.client.close();
  }

  /** Takes a beat; tells whether the target has begun to drain with it. */
  handleHeartbeat(beat: TargetHeartbeat, nowMs: number): boolean {
    const before = this.heartbeat?.phase;
    if (this.client.handleHeartbeat(beat)) this.beginLife(beat, nowMs);
    this.runs.setCapacity(this.heartbeat?.capacity ?? NO_RESOURCES);
    const hasBegun =
      this.heartbeat?.phase === TargetPhase.DRAINING &&
      before !== TargetPhase.DRAINING;
    if (hasBegun) {
      const fields = {target: beat.id, sequence: beat.sequence};
      this.options.log(FleetEvent.TARGET_DRAINING, 'It drains.', fields);
    }
    return hasBegun;
  }

  /** Takes the answer to a start. */
  handleStartAnswer(
    {task, run: number}: AnsweredRun,
    answer: OrderAnswer,
    nowMs: number,
  ): void {
    this.client.recordAnswer(answer);
    const run = this.runs.findRun(task, number);
    if (run === undefined) return;
    const {outcome, reason} = answer;
    if (outcome === OrderOutcome.ACCEPTED) {
      this.runs.applyEvent(run, RunEvent.ACCEPTED, nowMs);
      return;
    }
    recordRun(
      this.options.requests,
      run,
      FleetEvent.ORDER_FAILED,
      `Start: ${outcome} ${reason}.`,
    );
    if (outcome === OrderOutcome.UNANSWERED) {
      this.runs.applyEvent(run, RunEvent.UNANSWERED, nowMs);
      return;
    }
    const cause = RunEndCause.TARGET_REFUSED;
    this.runs.applyEvent(run, RunEvent.REJECTED, nowMs, cause);
    this.takeRefusal(outcome, nowMs);
  }

  /** Takes the answer to a stop. */
  handleStopAnswer(
    {task, run: number}: AnsweredRun,
    answer: OrderAnswer,
    nowMs: number,
  ): void {
    this.client.recordAnswer(answer);
    const run = this.runs.findRun(task, number);
    if (run === undefined) return;
    const {outcome} = answer;
    const isAnswered = isAnswer(outcome);
    if (isAnswered) {
      this.runs.applyEvent(run, RunEvent.STOP_ANSWERED, nowMs);
      // Asked for after the stop was taken, the lists tell what is left.
      this.renew(nowMs);
    } else {
      this.takeRefusal(outcome, nowMs);
      this.runs.applyEvent(run, RunEvent.STOP_UNANSWERED, nowMs);
    }
  }

  /** Takes the answer to a hold. */
  handleHoldAnswer(
    answer: HoldAnswer,
    sentAtMs: number,
    isWatch: boolean,
    nowMs: number,
  ): void {
    if (isWatch) this.client.endWatch();
    this.client.recordAnswer(answer);
    if (answer.outcome !== OrderOutcome.ACCEPTED) {
      this.lostHolds += 1;
      if (answer.reason === 'fence')
        this.client.raiseFencingToken(answer.clockMs);
      this.takeRefusal(answer.outcome, nowMs);
      if (!this.isSynced && answer.clockMs > 0) this.renew(nowMs);
      return;
    }
    this.refusals = 0;
    this.listedAtMs = nowMs;
    this.runs.applyLists(answer.running, answer.ended, sentAtMs, nowMs);
    this.stopUnknown(answer);
    if (this.runs.listRuns().length > 0)
      this.client.watch(this.runs.lastEndNumber);
    else if (answer.ended.length > 0) this.renew(nowMs);
  }

  /** Ends all runs: the target's life or its lease is over. */
  markLost(detail: string, nowMs: number): void {
    const runs = this.runs.listRuns().length;
    if (!this.isSynced && runs === 0) return;
    this.options.log(FleetEvent.TARGET_LOST, `The target is lost: ${detail}.`, {
      target: this.heartbeat?.id,
      runs,
    });
    this.isSynced = false;
    this.client.endWatch();
    this.runs.loseAll(nowMs);
  }

  /** Stops a run for a cause that is written down. */
  stopRun(
    run: HeldRun,
    cause: RunEndCause,
    detail: string,
    nowMs: number,
  ): void {
    recordRun(this.options.requests, run, FleetEvent.RUN_STOPPED, detail);
    this.runs.applyEvent(run, RunEvent.STOP, nowMs, cause);
  }

  /** Does what is due: probes, stalled runs, the lease. */
  advance(nowMs: number): void {
    this.health.advance(nowMs);
    this.runs.expire(nowMs);
    this.stopStalled(nowMs);
    this.renewWhenDue(nowMs);
  }

  /** Describes the target to the entries. */
  describe(): Omit<TargetReport, 'through' | 'phase'> {
    return describeTarget(this);
  }

  /** Describes the target for the log, since the last time. */
  describeStatus(): LineFields {
    const {lostHolds} = this;
    this.lostHolds = 0;
    return {...describeStatus(this), lostHolds};
  }

  private beginLife(beat: TargetHeartbeat, nowMs: number): void {
    this.runs.loseAll(nowMs);
    this.runs.resetEnds();
    this.client.endWatch();
    this.health.reset();
    this.isSynced = false;
    this.refusals = 0;
    const {id, incarnation: life, service} = beat;
    this.options.log(FleetEvent.TARGET_FOUND, 'A target has begun.', {
      target: id,
      targetLife: life,
      service,
    });
    this.renew(nowMs);
  }

  private takeRefusal(outcome: OrderOutcome, nowMs: number): void {
    if (outcome === OrderOutcome.OTHER_INCARNATION)
      this.markLost(outcome, nowMs);
    if (outcome !== OrderOutcome.NOT_LISTENING) return;
    this.refusals += 1;
    if (this.refusals >= REFUSALS) this.markLost(outcome, nowMs);
    else this.renew(nowMs);
  }

  /**
   * Stops what runs there without being held: nobody would take its end, and
   * it takes room. Orders are taken once nothing of the kind is left.
   */
  private stopUnknown(answer: HoldAnswer): void {
    const unknown = answer.running.filter(
      row => this.runs.findRun(row.task, row.run) === undefined,
    );
    for (const {task, run} of unknown) this.client.sendStop(task, run);
    if (this.isSynced || unknown.length > 0) return;
    this.isSynced = true;
    this.options.log(FleetEvent.TARGET_READY, 'The target takes orders.', {
      target: this.heartbeat?.id,
    });
  }

  private stopStalled(nowMs: number): void {
    for (const run of this.health.findStalled(this.listedAtMs, nowMs)) {
      const detail = `No progress at ${run.percent} %.`;
      this.stopRun(run, RunEndCause.HUNG, detail, nowMs);
    }
  }

  private renewWhenDue(nowMs: number): void {
    const hasRuns = this.runs
      .listRuns()
      .some(run => run.state !== RunState.QUEUED);
    const periodMs = hasRuns || !this.isSynced ? RENEW_MS : IDLE_LOOK_MS;
    if (nowMs - this.renewedAtMs >= periodMs) this.renew(nowMs);
    if (!hasRuns) return;
    this.client.watch(this.runs.lastEndNumber);
    if (nowMs > this.client.leaseExpiresAtMs) this.markLost('no answer', nowMs);
  }

  private renew(nowMs: number): void {
    this.renewedAtMs = nowMs;
    this.client.renew(this.runs.lastEndNumber, this.isSynced);
  }

  private perform(command: RunCommand): void {
    const {run} = command;
    switch (command.kind) {
      case RunCommandKind.SEND_START:
        this.client.sendStart(run);
        this.client.watch(this.runs.lastEndNumber);
        break;
      case RunCommandKind.SEND_STOP:
        this.client.sendStop(run.order.task, run.order.run);
        break;
      case RunCommandKind.REPORT_STARTED:
        recordRunStart(this.options.requests, run);
        break;
      case RunCommandKind.REPORT_END:
        this.takeEnd(run, command.report);
        break;
    }
  }

  private takeEnd(run: HeldRun, report: RunEndReport): void {
    this.health.recordEnd(report, run.order.estimateMs);
    recordRunEnd(this.options.requests, run, report);
    this.options.metrics.countRun(report.end, report.durationMs);
    this.options.deliverEnd(run.owner, report);
  }
}
