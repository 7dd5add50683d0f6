/** The calls of an agent to the present life of its target. */
import type {ReadMonotonicMs} from '../../core/clock.js';
import type {Post} from '../../core/task.js';
import {AnswerTime} from '../../decisions/answer_time.js';
import {LeaseClock} from '../../decisions/lease_clock.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {WorkMessageKind} from './runner_messages.js';
import type {WorkMessage} from './runner_messages.js';
import {isAnswer, OrderOutcome} from './target_port.js';
import type {
  ConnectTarget,
  OrderAnswer,
  TargetBeat,
  TargetPort,
} from './target_port.js';

/**
 * Length in milliseconds of the lease that runs are given. Long enough for
 * three renewals to be lost, short enough that the work of a dead target can be
 * repeated soon.
 */
export const LEASE_MS = 800;

/**
 * Longest wait in milliseconds of the call that watches for ends. Its answer
 * may be lost; the ends that it would have told are late by this at most.
 */
const WATCH_WAIT_MS = 200;

/** What the link needs. */
export interface TargetLinkOptions {
  readonly connect: ConnectTarget;
  readonly post: Post<WorkMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
}

/**
 * Sends orders to one life of the target after another and posts the answers.
 *
 * The fence is read from the target's own clock when this agent first meets a
 * life of it. That clock only rises within the life, so the fence is above that
 * of any earlier agent, and the store need not be asked.
 */
export class TargetLink {
  private readonly clock = LeaseClock.create();
  private readonly answerTime = AnswerTime.create();
  private port: TargetPort | undefined;
  private beat: TargetBeat | undefined;
  private fence = 0;
  private isWatching = false;
  private answeredAtMs = 0;

  private constructor(private readonly options: TargetLinkOptions) {}

  /** Creates a link without a target. */
  static create(options: TargetLinkOptions): TargetLink {
    return new TargetLink(options);
  }

  /** The latest beat of the present life. */
  get latest(): TargetBeat | undefined {
    return this.beat;
  }

  /** Whether orders can be given: a fence is held. */
  get isFenced(): boolean {
    return this.fence > 0;
  }

  /** Our time of the last answer of the target. */
  get heardAtMs(): number {
    return this.answeredAtMs;
  }

  /** Our time from which nothing runs there under our leases any more. */
  get lapsesAtMs(): number {
    return this.clock.computeLapse();
  }

  /** Time in milliseconds after which an answer to an order counts as lost. */
  get answerLimitMs(): number {
    return this.answerTime.limitMs;
  }

  /** Takes a beat; tells whether it begins another life. */
  takeBeat(beat: TargetBeat): boolean {
    const known = this.beat;
    if (known !== undefined && known.life === beat.life) {
      if (beat.sequence > known.sequence) this.beat = beat;
      return false;
    }
    if (known !== undefined && beat.bornMs < known.bornMs) return false;
    this.port?.close();
    this.port = this.options.connect(beat);
    this.beat = beat;
    this.fence = 0;
    this.clock.reset();
    this.answeredAtMs = this.options.readMonotonicMs();
    return true;
  }

  /** Forgets the present life. */
  forget(): void {
    this.port?.close();
    this.port = undefined;
    this.fence = 0;
  }

  /** Takes the clock of an answer; the first one becomes the fence. */
  observe(answer: OrderAnswer): void {
    const nowMs = this.options.readMonotonicMs();
    if (answer.clockMs <= 0) return;
    this.answeredAtMs = nowMs;
    this.clock.observe(answer.clockMs, nowMs);
    if (this.fence === 0) this.fence = answer.clockMs;
  }

  /** Raises the fence above one that the target holds. */
  raiseFence(clockMs: number): void {
    this.fence = Math.max(this.fence, clockMs);
  }

  /** Orders a start. */
  sendStart(run: HeldRun): void {
    const {task, run: number, payload} = run.order;
    const deadlineMs = this.extendLease();
    const {fence} = this;
    this.send(WorkMessageKind.START_ANSWER, task, number, (port, limitMs) =>
      port.start({
        task,
        run: number,
        payload,
        deadlineMs,
        fence,
        answerWithinMs: limitMs,
      }),
    );
  }

  /** Orders a stop. */
  sendStop(task: string, run: number): void {
    const {fence} = this;
    this.send(WorkMessageKind.STOP_ANSWER, task, run, (port, limitMs) =>
      port.stop({task, run, fence, answerWithinMs: limitMs}),
    );
  }

  /** Renews the lease and asks for the lists at once. */
  renew(ackedThrough: number, isExtended: boolean): void {
    this.sendHold(ackedThrough, 0, isExtended, false);
  }

  /** Asks for the lists as soon as a run ends; one such call at a time. */
  watch(ackedThrough: number): void {
    if (this.isWatching) return;
    this.isWatching = true;
    this.sendHold(ackedThrough, WATCH_WAIT_MS, true, true);
  }

  /** Notes that the watching call has ended. */
  endWatch(): void {
    this.isWatching = false;
  }

  /** Closes the connections. */
  close(): void {
    this.port?.close();
  }

  private extendLease(): number {
    return this.clock.extend(this.options.readMonotonicMs(), LEASE_MS);
  }

  private sendHold(
    ackedThrough: number,
    waitMs: number,
    isExtended: boolean,
    isWatch: boolean,
  ): void {
    const {port, beat} = this;
    if (port === undefined || beat === undefined) return;
    const deadlineMs = isExtended && this.isFenced ? this.extendLease() : 0;
    const sentAtMs = this.options.readMonotonicMs();
    const {fence} = this;
    void port.hold({fence, deadlineMs, ackedThrough, waitMs}).then(answer =>
      this.options.post({
        kind: WorkMessageKind.HOLD_ANSWER,
        life: beat.life,
        sentAtMs,
        isWatch,
        answer,
      }),
    );
  }

  private send(
    kind: WorkMessageKind.START_ANSWER | WorkMessageKind.STOP_ANSWER,
    task: string,
    run: number,
    call: (port: TargetPort, limitMs: number) => Promise<OrderAnswer>,
  ): void {
    const life = this.beat?.life ?? '';
    const {port} = this;
    const sentAtMs = this.options.readMonotonicMs();
    const answered =
      port === undefined
        ? Promise.resolve(NOT_SENT)
        : call(port, this.answerTime.limitMs);
    void answered.then(answer => {
      if (isAnswer(answer.outcome)) {
        this.answerTime.record(this.options.readMonotonicMs() - sentAtMs);
      }
      this.options.post({kind, life, task, run, answer});
    });
  }
}

const NOT_SENT: OrderAnswer = {
  outcome: OrderOutcome.NOT_SENT,
  reason: '',
  clockMs: 0,
};
