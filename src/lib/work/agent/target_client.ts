/** The calls of an agent to the present life of its target. */
import type {ReadMonotonicMs} from '../../core/clock.js';
import type {Post} from '../../core/task.js';
import {ResponseTimeout} from '../../decisions/response_timeout.js';
import {LeaseClock} from '../../decisions/lease_clock.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {RunnerMessageKind} from './runner_messages.js';
import type {RunnerMessage} from './runner_messages.js';
import {isAnswer, OrderOutcome} from './target_connection.js';
import type {
  ConnectTarget,
  OrderAnswer,
  TargetHeartbeat,
  TargetConnection,
} from './target_connection.js';

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
export interface TargetClientOptions {
  readonly connect: ConnectTarget;
  readonly post: Post<RunnerMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
}

/**
 * Sends orders to one life of the target after another and posts the answers.
 *
 * The fence is read from the target's own clock when this agent first meets a
 * life of it. That clock only rises within the life, so the fence is above that
 * of any earlier agent, and the store need not be asked.
 */
export class TargetClient {
  private readonly clock = LeaseClock.create();
  private readonly answerTime = ResponseTimeout.create();
  private port: TargetConnection | undefined;
  private beat: TargetHeartbeat | undefined;
  private fence = 0;
  private isWatching = false;
  private answeredAtMs = 0;

  private constructor(private readonly options: TargetClientOptions) {}

  /** Creates a link without a target. */
  static create(options: TargetClientOptions): TargetClient {
    return new TargetClient(options);
  }

  /** The latest beat of the present life. */
  get heartbeat(): TargetHeartbeat | undefined {
    return this.beat;
  }

  /** Whether orders can be given: a fence is held. */
  get hasFencingToken(): boolean {
    return this.fence > 0;
  }

  /** Our time of the last answer of the target. */
  get lastAnswerAtMs(): number {
    return this.answeredAtMs;
  }

  /** Our time from which nothing runs there under our leases any more. */
  get leaseExpiresAtMs(): number {
    return this.clock.computeExpiry();
  }

  /** Time in milliseconds after which an answer to an order counts as lost. */
  get answerTimeoutMs(): number {
    return this.answerTime.limitMs;
  }

  /** Takes a beat; tells whether it begins another life. */
  handleHeartbeat(beat: TargetHeartbeat): boolean {
    const known = this.beat;
    if (known !== undefined && known.incarnation === beat.incarnation) {
      if (beat.sequence > known.sequence) this.beat = beat;
      return false;
    }
    if (known !== undefined && beat.startedAtMs < known.startedAtMs)
      return false;
    this.port?.close();
    this.port = this.options.connect(beat);
    this.beat = beat;
    this.fence = 0;
    this.clock.reset();
    this.answeredAtMs = this.options.readMonotonicMs();
    return true;
  }

  /** Forgets the present life. */
  disconnect(): void {
    this.port?.close();
    this.port = undefined;
    this.fence = 0;
  }

  /** Takes the clock of an answer; the first one becomes the fence. */
  recordAnswer(answer: OrderAnswer): void {
    const nowMs = this.options.readMonotonicMs();
    if (answer.clockMs <= 0) return;
    this.answeredAtMs = nowMs;
    this.clock.observe(answer.clockMs, nowMs);
    if (this.fence === 0) this.fence = answer.clockMs;
  }

  /** Raises the fence above one that the target holds. */
  raiseFencingToken(clockMs: number): void {
    this.fence = Math.max(this.fence, clockMs);
  }

  /** Orders a start. */
  sendStart(run: HeldRun): void {
    const {task, run: number, payload} = run.order;
    const deadlineMs = this.extendLease();
    const {fence} = this;
    this.send(RunnerMessageKind.START_ANSWER, task, number, (port, limitMs) =>
      port.start({
        task,
        run: number,
        payload,
        deadlineMs,
        fencingToken: fence,
        timeoutMs: limitMs,
      }),
    );
  }

  /** Orders a stop. */
  sendStop(task: string, run: number): void {
    const {fence} = this;
    this.send(RunnerMessageKind.STOP_ANSWER, task, run, (port, limitMs) =>
      port.stop({task, run, fencingToken: fence, timeoutMs: limitMs}),
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
    const deadlineMs =
      isExtended && this.hasFencingToken ? this.extendLease() : 0;
    const sentAtMs = this.options.readMonotonicMs();
    const {fence} = this;
    void port
      .hold({fencingToken: fence, deadlineMs, ackedThrough, waitMs})
      .then(answer =>
        this.options.post({
          kind: RunnerMessageKind.HOLD_ANSWER,
          life: beat.incarnation,
          sentAtMs,
          isWatch,
          answer,
        }),
      );
  }

  private send(
    kind: RunnerMessageKind.START_ANSWER | RunnerMessageKind.STOP_ANSWER,
    task: string,
    run: number,
    call: (port: TargetConnection, limitMs: number) => Promise<OrderAnswer>,
  ): void {
    const life = this.beat?.incarnation ?? '';
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
