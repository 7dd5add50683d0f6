/** The target beside an agent: its lives, its runs, what is believed of it. */
import {RunEvent, RunState} from '../../decisions/held_run.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {RunBook} from '../../decisions/run_book.js';
import {RunCommandKind} from '../../decisions/run_command.js';
import type {RunCommand} from '../../decisions/run_command.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {LineFields} from '../../observe/request_log.js';
import {RunEndCause, TargetPhase} from '../../core/work_frames.js';
import type {RunEndReport, TargetReport} from '../../core/work_frames.js';
import {NO_RESOURCES} from '../../core/work_job.js';
import {recordRun, recordRunEnd, recordRunStart} from './run_notes.js';
import type {AnsweredRun, TargetDeskOptions} from './target_desk_options.js';
import {describeStatus, describeTarget} from './target_description.js';
import {TargetLink} from './target_link.js';
import {TargetOpinion} from './target_opinion.js';
import {isAnswer, OrderOutcome} from './target_port.js';
import type {HoldAnswer, OrderAnswer, TargetBeat} from './target_port.js';

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
export class TargetDesk {
  readonly book: RunBook;
  readonly target: TargetLink;
  readonly opinion: TargetOpinion;

  private isSynced = false;
  private refusals = 0;
  private renewedAtMs = 0;
  private listedAtMs = 0;
  private lostHolds = 0;

  private constructor(private readonly options: TargetDeskOptions) {
    this.book = RunBook.create(command => this.perform(command));
    this.target = TargetLink.create({
      connect: options.connectTarget,
      post: options.post,
      readMonotonicMs: options.readMonotonicMs,
    });
    this.opinion = TargetOpinion.create({
      ...options,
      book: this.book,
      getTarget: () => this.latest?.id ?? '',
    });
  }

  /** Creates a desk that waits for the first beat. */
  static create(options: TargetDeskOptions): TargetDesk {
    return new TargetDesk(options);
  }

  /** The latest beat of the present life. */
  get latest(): TargetBeat | undefined {
    return this.target.latest;
  }

  /** What the target offers: nothing before it is known what runs there. */
  get phase(): TargetPhase {
    if (!this.isSynced) return TargetPhase.ABSENT;
    return this.latest?.phase ?? TargetPhase.ABSENT;
  }

  /** Closes the connections. */
  close(): void {
    this.target.close();
  }

  /** Takes a beat; tells whether the target has begun to drain with it. */
  takeBeat(beat: TargetBeat, nowMs: number): boolean {
    const before = this.latest?.phase;
    if (this.target.takeBeat(beat)) this.beginLife(beat, nowMs);
    this.book.setCapacity(this.latest?.capacity ?? NO_RESOURCES);
    const hasBegun =
      this.latest?.phase === TargetPhase.DRAINING &&
      before !== TargetPhase.DRAINING;
    if (hasBegun) {
      const fields = {target: beat.id, sequence: beat.sequence};
      this.options.log(FleetEvent.TARGET_DRAINING, 'It drains.', fields);
    }
    return hasBegun;
  }

  /** Takes the answer to a start. */
  takeStartAnswer(
    {task, run: number}: AnsweredRun,
    answer: OrderAnswer,
    nowMs: number,
  ): void {
    this.target.observe(answer);
    const run = this.book.findRun(task, number);
    if (run === undefined) return;
    const {outcome, reason} = answer;
    if (outcome === OrderOutcome.TAKEN) {
      this.book.takeEvent(run, RunEvent.ACCEPTED, nowMs);
      return;
    }
    recordRun(
      this.options.requests,
      run,
      FleetEvent.ORDER_FAILED,
      `Start: ${outcome} ${reason}.`,
    );
    if (outcome === OrderOutcome.UNANSWERED) {
      this.book.takeEvent(run, RunEvent.UNANSWERED, nowMs);
      return;
    }
    const cause = RunEndCause.TARGET_REFUSED;
    this.book.takeEvent(run, RunEvent.REJECTED, nowMs, cause);
    this.takeRefusal(outcome, nowMs);
  }

  /** Takes the answer to a stop. */
  takeStopAnswer(
    {task, run: number}: AnsweredRun,
    answer: OrderAnswer,
    nowMs: number,
  ): void {
    this.target.observe(answer);
    const run = this.book.findRun(task, number);
    if (run === undefined) return;
    const {outcome} = answer;
    const isAnswered = isAnswer(outcome);
    if (isAnswered) {
      this.book.takeEvent(run, RunEvent.STOP_ANSWERED, nowMs);
      // Asked for after the stop was taken, the lists tell what is left.
      this.renew(nowMs);
    } else {
      this.takeRefusal(outcome, nowMs);
      this.book.takeEvent(run, RunEvent.STOP_UNANSWERED, nowMs);
    }
  }

  /** Takes the answer to a hold. */
  takeHoldAnswer(
    answer: HoldAnswer,
    sentAtMs: number,
    isWatch: boolean,
    nowMs: number,
  ): void {
    if (isWatch) this.target.endWatch();
    this.target.observe(answer);
    if (answer.outcome !== OrderOutcome.TAKEN) {
      this.lostHolds += 1;
      if (answer.reason === 'fence') this.target.raiseFence(answer.clockMs);
      this.takeRefusal(answer.outcome, nowMs);
      if (!this.isSynced && answer.clockMs > 0) this.renew(nowMs);
      return;
    }
    this.refusals = 0;
    this.listedAtMs = nowMs;
    this.book.takeLists(answer.running, answer.ended, sentAtMs, nowMs);
    this.stopUnknown(answer);
    if (this.book.listRuns().length > 0) this.target.watch(this.book.through);
    else if (answer.ended.length > 0) this.renew(nowMs);
  }

  /** Ends all runs: the target's life or its lease is over. */
  lose(detail: string, nowMs: number): void {
    const runs = this.book.listRuns().length;
    if (!this.isSynced && runs === 0) return;
    this.options.log(FleetEvent.TARGET_LOST, `The target is lost: ${detail}.`, {
      target: this.latest?.id,
      runs,
    });
    this.isSynced = false;
    this.target.endWatch();
    this.book.loseAll(nowMs);
  }

  /** Stops a run for a cause that is written down. */
  stopRun(
    run: HeldRun,
    cause: RunEndCause,
    detail: string,
    nowMs: number,
  ): void {
    recordRun(this.options.requests, run, FleetEvent.RUN_STOPPED, detail);
    this.book.takeEvent(run, RunEvent.STOP, nowMs, cause);
  }

  /** Does what is due: probes, stalled runs, the lease. */
  advance(nowMs: number): void {
    this.opinion.advance(nowMs);
    this.book.expire(nowMs);
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

  private beginLife(beat: TargetBeat, nowMs: number): void {
    this.book.loseAll(nowMs);
    this.book.resetEnds();
    this.target.endWatch();
    this.opinion.reset();
    this.isSynced = false;
    this.refusals = 0;
    const {id, life, service} = beat;
    this.options.log(FleetEvent.TARGET_FOUND, 'A target has begun.', {
      target: id,
      targetLife: life,
      service,
    });
    this.renew(nowMs);
  }

  private takeRefusal(outcome: OrderOutcome, nowMs: number): void {
    if (outcome === OrderOutcome.OTHER_LIFE) this.lose(outcome, nowMs);
    if (outcome !== OrderOutcome.NOBODY) return;
    this.refusals += 1;
    if (this.refusals >= REFUSALS) this.lose(outcome, nowMs);
    else this.renew(nowMs);
  }

  /**
   * Stops what runs there without being held: nobody would take its end, and
   * it takes room. Orders are taken once nothing of the kind is left.
   */
  private stopUnknown(answer: HoldAnswer): void {
    const unknown = answer.running.filter(
      row => this.book.findRun(row.task, row.run) === undefined,
    );
    for (const {task, run} of unknown) this.target.sendStop(task, run);
    if (this.isSynced || unknown.length > 0) return;
    this.isSynced = true;
    this.options.log(FleetEvent.TARGET_READY, 'The target takes orders.', {
      target: this.latest?.id,
    });
  }

  private stopStalled(nowMs: number): void {
    for (const run of this.opinion.findStalled(this.listedAtMs, nowMs)) {
      const detail = `No progress at ${run.percent} %.`;
      this.stopRun(run, RunEndCause.HUNG, detail, nowMs);
    }
  }

  private renewWhenDue(nowMs: number): void {
    const hasRuns = this.book
      .listRuns()
      .some(run => run.state !== RunState.QUEUED);
    const periodMs = hasRuns || !this.isSynced ? RENEW_MS : IDLE_LOOK_MS;
    if (nowMs - this.renewedAtMs >= periodMs) this.renew(nowMs);
    if (!hasRuns) return;
    this.target.watch(this.book.through);
    if (nowMs > this.target.lapsesAtMs) this.lose('no answer', nowMs);
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
        recordRunStart(this.options.requests, run);
        break;
      case RunCommandKind.REPORT_END:
        this.takeEnd(run, command.report);
        break;
    }
  }

  private takeEnd(run: HeldRun, report: RunEndReport): void {
    this.opinion.takeEnd(report, run.order.estimateMs);
    recordRunEnd(this.options.requests, run, report);
    this.options.metrics.countRun(report.end, report.durationMs);
    this.options.deliverEnd(run.owner, report);
  }
}
