/** The agent's calls to the current incarnation of its target. */
import type {ReadMonotonicMs} from '../../core/clock.js';
import {TargetPhase} from '../../core/work_frames.js';
import type {Post} from '../../core/task.js';
import {FencingToken} from '../../decisions/fencing_token.js';
import {
  isNewerHeartbeat,
  limitHeartbeatClock,
} from '../../decisions/heartbeat_order.js';
import {KnownTargetKinds} from '../../decisions/known_target_kinds.js';
import {ResponseTimeout} from '../../decisions/response_timeout.js';
import {LeaseClock} from '../../decisions/lease_clock.js';
import type {HeldRun} from '../../decisions/held_run.js';
import {RunnerMessageKind} from './runner_messages.js';
import type {RunnerMessage} from './runner_messages.js';
import {isAnswer, OrderOutcome} from './target_api.js';
import type {
  ConfirmedIncarnation,
  OrderAnswer,
  TargetHeartbeat,
  TargetConnection,
} from './target_api.js';

/**
 * Duration in milliseconds of the lease on runs. Long enough to survive three
 * lost renewals, short enough that work of a failed target is repeated soon.
 */
export const LEASE_MS = 800;

/**
 * Maximum wait in milliseconds of the long poll for run ends. If its answer is
 * lost, the run ends in it are delayed by this much at most.
 */
const LONG_POLL_WAIT_MS = 100;

/** Maximum number of kinds of target that an agent reports. */
const KINDS_PER_AGENT = 8;

/** Dependencies of the client. */
export interface TargetClientOptions {
  readonly post: Post<RunnerMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
}

/** Sends orders to the current incarnation of the target and posts the answers. */
export class TargetClient {
  readonly token = FencingToken.create();
  /** The kinds of target seen during the life of this process. */
  readonly kinds = KnownTargetKinds.create(KINDS_PER_AGENT);

  private readonly clock = LeaseClock.create();
  private readonly responseTimeout = ResponseTimeout.create();
  private connection: TargetConnection | undefined;
  private latest: TargetHeartbeat | undefined;
  private hasPendingPoll = false;
  private hasEnded = false;
  private lastAnswerMs = 0;

  private constructor(private readonly options: TargetClientOptions) {}

  /** Creates a client without a target. */
  static create(options: TargetClientOptions): TargetClient {
    return new TargetClient(options);
  }

  /** The latest heartbeat of the current incarnation. */
  get heartbeat(): TargetHeartbeat | undefined {
    return this.latest;
  }

  /** Local time of the last answer from the target. */
  get lastAnswerAtMs(): number {
    return this.lastAnswerMs;
  }

  /** Local time after which no run on the target has a lease. */
  get leaseExpiresAtMs(): number {
    return this.clock.computeExpiry();
  }

  /** Time in milliseconds after which the answer to an order counts as lost. */
  get answerTimeoutMs(): number {
    return this.responseTimeout.timeoutMs;
  }

  /** Returns whether a heartbeat names the incarnation that is known to be up. */
  isCurrent({incarnation}: TargetHeartbeat): boolean {
    return incarnation === this.latest?.incarnation && !this.hasEnded;
  }

  /**
   * Records that another incarnation has answered. The next one may have the same id
   * and start time, so its first heartbeat has to be told from one of this.
   */
  endIncarnation(): void {
    this.hasEnded = true;
  }

  /** Updates the heartbeat of the current incarnation; ignores older ones. */
  updateHeartbeat(heartbeat: TargetHeartbeat): void {
    const {latest} = this;
    if (latest === undefined || !isNewerHeartbeat(heartbeat, latest)) return;
    this.setHeartbeat(heartbeat);
  }

  /** Records that the target drains, until a newer heartbeat tells otherwise. */
  beginDrain(): void {
    if (this.latest === undefined) return;
    this.latest = {...this.latest, phase: TargetPhase.DRAINING};
  }

  /** Changes to an incarnation that the target has confirmed with an answer. */
  beginIncarnation({
    heartbeat,
    connection,
    answer,
  }: ConfirmedIncarnation): void {
    this.connection?.close();
    this.connection = connection;
    this.latest = heartbeat;
    this.hasEnded = false;
    this.token.reset();
    this.clock.reset();
    this.recordAnswer(answer);
    this.setHeartbeat(heartbeat);
  }

  /** Records the clock in an answer; the first becomes the fencing token. */
  recordAnswer(answer: OrderAnswer): void {
    const nowMs = this.options.readMonotonicMs();
    if (answer.clockMs <= 0) return;
    this.lastAnswerMs = nowMs;
    this.clock.observe(answer.clockMs, nowMs);
    this.token.set(this.computeTargetTime(answer.clockMs));
  }

  /** Raises the token that the target has refused. */
  raiseRefusedToken(clockMs: number): void {
    this.token.raiseRefused(this.computeTargetTime(clockMs));
  }

  /** Sends a start order, which also extends the lease. */
  sendStart(run: HeldRun): void {
    const {task, run: runNumber, payload} = run.order;
    const deadlineMs = this.extendLease();
    const fencingToken = this.token.value;
    this.send(
      RunnerMessageKind.START_ANSWER,
      task,
      runNumber,
      (connection, timeoutMs) =>
        connection.start({
          task,
          run: runNumber,
          payload,
          deadlineMs,
          fencingToken,
          timeoutMs,
        }),
    );
  }

  /** Sends a stop order. */
  sendStop(task: string, run: number): void {
    const fencingToken = this.token.value;
    this.send(
      RunnerMessageKind.STOP_ANSWER,
      task,
      run,
      (connection, timeoutMs) =>
        connection.stop({task, run, fencingToken, timeoutMs}),
    );
  }

  /** Requests the run lists at once; renews the lease if `isExtended`. */
  renew(lastEndNumber: number, isExtended: boolean): void {
    this.sendHold(lastEndNumber, 0, isExtended, false);
  }

  /**
   * Long-polls for the run lists until a run ends, one poll at a time; renews the
   * lease if `isExtended`.
   */
  list(lastEndNumber: number, isExtended: boolean): void {
    if (this.hasPendingPoll) return;
    this.hasPendingPoll = true;
    this.sendHold(lastEndNumber, LONG_POLL_WAIT_MS, isExtended, true);
  }

  /** Records that the long poll has ended; `list` may start another. */
  endLongPoll(): void {
    this.hasPendingPoll = false;
  }

  /** Closes the connections to the target. */
  close(): void {
    this.connection?.close();
  }

  /** Returns the target's time of day at a reading of its clock. */
  private computeTargetTime(clockMs: number): number {
    return (this.latest?.startMs ?? 0) + clockMs;
  }

  private setHeartbeat(heartbeat: TargetHeartbeat): void {
    const nowMs = this.options.readMonotonicMs();
    const targetClockMs = this.clock.estimate(nowMs);
    this.kinds.record(heartbeat, nowMs);
    this.latest = limitHeartbeatClock(heartbeat, targetClockMs);
  }

  private extendLease(): number {
    return this.clock.extend(this.options.readMonotonicMs(), LEASE_MS);
  }

  private sendHold(
    lastEndNumber: number,
    waitMs: number,
    isExtended: boolean,
    isLongPoll: boolean,
  ): void {
    const {connection, latest} = this;
    if (connection === undefined || latest === undefined) return;
    const deadlineMs =
      isExtended && this.token.value > 0 ? this.extendLease() : 0;
    const sentAtMs = this.options.readMonotonicMs();
    const sentAtClockMs = this.clock.estimate(sentAtMs);
    const fencingToken = this.token.value;
    void connection
      .hold({fencingToken, deadlineMs, lastEndNumber, waitMs})
      .then(answer =>
        this.options.post({
          kind: RunnerMessageKind.HOLD_ANSWER,
          incarnation: latest.incarnation,
          sentAtMs,
          isLongPoll,
          fencingToken,
          answer: checkClock(answer, sentAtClockMs),
        }),
      );
  }

  private send(
    kind: RunnerMessageKind.START_ANSWER | RunnerMessageKind.STOP_ANSWER,
    task: string,
    run: number,
    call: (
      connection: TargetConnection,
      timeoutMs: number,
    ) => Promise<OrderAnswer>,
  ): void {
    const incarnation = this.latest?.incarnation ?? '';
    const {connection} = this;
    const sentAtMs = this.options.readMonotonicMs();
    const sentAtClockMs = this.clock.estimate(sentAtMs);
    const pendingAnswer =
      connection === undefined
        ? Promise.resolve(NOT_SENT)
        : call(connection, this.responseTimeout.timeoutMs);
    void pendingAnswer.then(answer => {
      if (isAnswer(answer.outcome)) {
        this.responseTimeout.record(this.options.readMonotonicMs() - sentAtMs);
      }
      this.options.post({
        kind,
        incarnation,
        task,
        run,
        answer: checkClock(answer, sentAtClockMs),
      });
    });
  }
}

/** Margin in milliseconds for a clock that drifts more than it should. */
const CLOCK_MARGIN_MS = 1000;

/**
 * Tells an answer of another incarnation by its clock, which has started anew: only
 * run lists name the incarnation, and the next one may have the same name.
 *
 * @param sentAtClockMs Lower bound of the target's clock when the order was sent.
 */
function checkClock<T extends OrderAnswer>(
  answer: T,
  sentAtClockMs: number,
): T {
  const isOlder =
    answer.clockMs > 0 && answer.clockMs < sentAtClockMs - CLOCK_MARGIN_MS;
  if (!isOlder || !isAnswer(answer.outcome)) return answer;
  return {...answer, outcome: OrderOutcome.ANSWERED_BY_OTHER};
}

const NOT_SENT: OrderAnswer = {
  outcome: OrderOutcome.NOT_SENT,
  reason: '',
  clockMs: 0,
};
