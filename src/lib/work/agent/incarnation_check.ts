/** Verifies heartbeats that name another incarnation of an agent's target. */
import type {ReadSystemMs} from '../../core/clock.js';
import type {Post} from '../../core/task.js';
import {
  ClaimAction,
  ClaimEvent,
  ClaimState,
  IncarnationClaim,
} from '../../decisions/incarnation_claim.js';
import {isNewerHeartbeat} from '../../decisions/heartbeat_order.js';
import type {FencingToken} from '../../decisions/fencing_token.js';
import {HeartbeatRejection} from './rejected_heartbeats.js';
import type {RejectedHeartbeats} from './rejected_heartbeats.js';
import {RunnerMessageKind} from './runner_messages.js';
import type {ClaimAnswer, RunnerMessage} from './runner_messages.js';
import {isOtherIncarnation, OrderOutcome, REASON_FENCE} from './target_api.js';
import type {
  ConfirmedIncarnation,
  ConnectTarget,
  OrderAnswer,
  TargetConnection,
  TargetHeartbeat,
} from './target_api.js';

/** Maximum number of claims kept; the one heard longest ago is dropped. */
const MAX_CLAIMS = 4;

/** Dependencies and callbacks of the check. */
export interface IncarnationCheckOptions {
  readonly connect: ConnectTarget;
  readonly token: FencingToken;
  readonly post: Post<RunnerMessage>;
  readonly readSystemMs: ReadSystemMs;
  readonly rejected: RejectedHeartbeats;
  /** Called with an incarnation that the target has confirmed. */
  readonly adopt: (confirmed: ConfirmedIncarnation, nowMs: number) => void;
}

interface PendingClaim {
  readonly claim: IncarnationClaim;
  readonly connection: TargetConnection;
  heartbeat: TargetHeartbeat;
  /** Number of the latest call; the answers to earlier ones are ignored. */
  call: number;
}

/**
 * Asks the target for its run lists as the incarnation that a heartbeat names. One
 * incarnation listens at the target's address at a time, so an answer in that name
 * proves both that it is up and that the known one has ended. Owned by the target
 * controller.
 */
export class IncarnationCheck {
  private readonly claims = new Map<string, PendingClaim>();
  private lastCall = 0;

  private constructor(private readonly options: IncarnationCheckOptions) {}

  /** Creates a check without claims. */
  static create(options: IncarnationCheckOptions): IncarnationCheck {
    return new IncarnationCheck(options);
  }

  /** Whether a claim waits for the target's answer. */
  get isPending(): boolean {
    return this.claims.size > 0;
  }

  /** Handles a heartbeat that names another incarnation than the known one. */
  handleHeartbeat(heartbeat: TargetHeartbeat, nowMs: number): void {
    const {incarnation} = heartbeat;
    const known = this.claims.get(incarnation);
    if (known !== undefined) {
      known.claim.recordHeartbeat(nowMs);
      if (isNewerHeartbeat(heartbeat, known.heartbeat)) {
        known.heartbeat = heartbeat;
      }
    } else {
      this.dropOldest(nowMs);
      this.claims.set(incarnation, {
        claim: IncarnationClaim.create(nowMs),
        connection: this.options.connect(heartbeat),
        heartbeat,
        call: 0,
      });
    }
    this.advance(nowMs);
  }

  /** Handles the target's answer to a call that was addressed to a claim. */
  handleAnswer(
    {incarnation, call, fencingToken, answer}: ClaimAnswer,
    nowMs: number,
  ): void {
    const pending = this.claims.get(incarnation);
    if (pending?.claim.state !== ClaimState.ASKING) return;
    if (pending.call !== call) return;
    const event = judgeAnswer(answer);
    const actions = pending.claim.send(event, nowMs);
    this.perform(actions, pending, nowMs, answer);
    const isUnanswered = event === ClaimEvent.UNANSWERED;
    if (!isUnanswered || answer.reason !== REASON_FENCE) return;
    const {token, readSystemMs} = this.options;
    const claimedTimeMs = pending.heartbeat.startMs + answer.clockMs;
    token.raiseClaim(fencingToken, claimedTimeMs, readSystemMs());
    // An agent that has just started knows no token: its first call only reads
    // the target's clock.
    if (fencingToken === 0) this.ask(pending, nowMs);
  }

  /** Repeats unanswered calls and drops claims that the target never confirmed. */
  advance(nowMs: number): void {
    for (const pending of [...this.claims.values()]) {
      const actions = pending.claim.advance(nowMs);
      this.perform(actions, pending, nowMs);
    }
  }

  /** Closes the connections. */
  close(): void {
    for (const pending of [...this.claims.values()]) this.forget(pending);
  }

  private ask(pending: PendingClaim, nowMs: number): void {
    const actions = pending.claim.send(ClaimEvent.DUE, nowMs);
    this.perform(actions, pending, nowMs);
  }

  private perform(
    actions: readonly ClaimAction[],
    pending: PendingClaim,
    nowMs: number,
    answer?: OrderAnswer,
  ): void {
    for (const action of actions) {
      switch (action) {
        case ClaimAction.ASK:
          this.sendCall(pending);
          break;
        case ClaimAction.ADOPT:
          if (answer !== undefined) this.adopt(pending, answer, nowMs);
          break;
        case ClaimAction.REJECT:
          this.reject(pending, answer !== undefined);
          break;
      }
    }
  }

  /**
   * Requests the run lists without renewing the lease and without acknowledging
   * ends, which changes nothing at an incarnation that is not the named one.
   */
  private sendCall(pending: PendingClaim): void {
    const {token, post} = this.options;
    const {incarnation} = pending.heartbeat;
    const fencingToken = token.claimValue;
    this.lastCall += 1;
    const call = this.lastCall;
    pending.call = call;
    void pending.connection
      .hold({fencingToken, deadlineMs: 0, lastEndNumber: 0, waitMs: 0})
      .then(answer => {
        const kind = RunnerMessageKind.CLAIM_ANSWER;
        post({kind, incarnation, call, fencingToken, answer});
      });
  }

  private adopt(
    {heartbeat, connection}: PendingClaim,
    answer: OrderAnswer,
    nowMs: number,
  ): void {
    this.claims.delete(heartbeat.incarnation);
    // Answers to them may be older than this one.
    for (const other of [...this.claims.values()]) this.replace(other, nowMs);
    this.options.adopt({heartbeat, connection, answer}, nowMs);
  }

  private reject(pending: PendingClaim, isAnswered: boolean): void {
    this.forget(pending);
    const {DENIED, UNCONFIRMED} = HeartbeatRejection;
    const reason = isAnswered ? DENIED : UNCONFIRMED;
    this.options.rejected.recordHeartbeat(reason, pending.heartbeat);
  }

  private dropOldest(nowMs: number): void {
    if (this.claims.size < MAX_CLAIMS) return;
    const [oldest] = [...this.claims.values()].sort(
      (a, b) => a.claim.lastHeardMs - b.claim.lastHeardMs,
    );
    this.replace(oldest, nowMs);
  }

  private replace(pending: PendingClaim, nowMs: number): void {
    pending.claim.send(ClaimEvent.REPLACED, nowMs);
    this.forget(pending);
  }

  private forget({heartbeat, connection}: PendingClaim): void {
    this.claims.delete(heartbeat.incarnation);
    connection.close();
  }
}

function judgeAnswer({outcome}: OrderAnswer): ClaimEvent {
  if (outcome === OrderOutcome.ACCEPTED) return ClaimEvent.CONFIRMED;
  if (isOtherIncarnation(outcome)) return ClaimEvent.DENIED;
  return ClaimEvent.UNANSWERED;
}
