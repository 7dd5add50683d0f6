/** The agent's interface to its target, independent of the protocol. */
import type {ListedEnd, ListedRun} from '../../decisions/run_command.js';
import type {Resources} from '../../core/work_job.js';
import type {TargetPhase} from '../../core/work_frames.js';

/** A target's description of itself. */
export interface TargetHeartbeat {
  /** Identifies one start of the target's process; changes on each restart. */
  readonly incarnation: string;
  /** Start of the incarnation in milliseconds since 1970; orders them. */
  readonly startMs: number;
  /** The target's id, which it expects in orders. */
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly phase: TargetPhase.READY | TargetPhase.DRAINING;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Rises with each heartbeat of one incarnation. */
  readonly sequence: number;
  /** The target's monotonic clock in milliseconds; undefined if not given. */
  readonly clockMs: number | undefined;
}

/** Outcome of an order to a target. */
export enum OrderOutcome {
  /** The target carried out the order. */
  ACCEPTED = 'taken',
  /** The target refused the order and did nothing. */
  REFUSED = 'refused',
  /** The order was addressed to an earlier incarnation of the target. */
  OTHER_INCARNATION = 'other-life',
  /** A later incarnation has answered, and may have carried out the order. */
  ANSWERED_BY_OTHER = 'answered-by-other-life',
  /** Nothing listens at the target's address. */
  NOT_LISTENING = 'nobody',
  /** The order was not sent. */
  NOT_SENT = 'not-sent',
  /** No answer arrived in time; the target may carry out the order now or later. */
  UNANSWERED = 'unanswered',
  /** The connection broke before an answer, which proves as little. */
  BROKEN = 'broken',
}

/** Returns whether the target may carry out the order though it has not answered. */
export function isUncertain(outcome: OrderOutcome): boolean {
  return outcome === OrderOutcome.UNANSWERED || outcome === OrderOutcome.BROKEN;
}

/** Returns whether the answer proves the end of the incarnation that was called. */
export function isOtherIncarnation(outcome: OrderOutcome): boolean {
  return (
    outcome === OrderOutcome.OTHER_INCARNATION ||
    outcome === OrderOutcome.ANSWERED_BY_OTHER
  );
}

/** Returns whether the target itself accepted or refused the order. */
export function isAnswer(outcome: OrderOutcome): boolean {
  return outcome === OrderOutcome.ACCEPTED || outcome === OrderOutcome.REFUSED;
}

/** Reason of a target that has stopped or ended this run or a later one. */
export const REASON_OLD = 'old';

/** Reason of a target that has seen a higher fencing token. */
export const REASON_FENCE = 'fence';

/** The answer to an order. */
export interface OrderAnswer {
  readonly outcome: OrderOutcome;
  /** The target's reason for a refusal; empty without one. */
  readonly reason: string;
  /** The target's monotonic clock in milliseconds; 0 if the answer has none. */
  readonly clockMs: number;
}

/** The answer to a hold call, with the target's run lists. */
export interface HoldAnswer extends OrderAnswer {
  readonly running: readonly ListedRun[];
  readonly ended: readonly ListedEnd[];
}

/** An order to start a run. */
export interface StartCall {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly deadlineMs: number;
  readonly fencingToken: number;
  /** Time in milliseconds after which the answer counts as lost. */
  readonly timeoutMs: number;
}

/** An order to stop a run. */
export interface StopCall {
  readonly task: string;
  readonly run: number;
  readonly fencingToken: number;
  /** Time in milliseconds after which the answer counts as lost. */
  readonly timeoutMs: number;
}

/** Renews the lease of all runs, acknowledges run ends, requests run lists. */
export interface HoldCall {
  readonly fencingToken: number;
  /** Lease deadline on the target's clock; 0 renews nothing. */
  readonly deadlineMs: number;
  /** Number of the last run end that was processed; the target forgets it. */
  readonly lastEndNumber: number;
  /** Time in milliseconds for which the target may wait for a run to end. */
  readonly waitMs: number;
}

/**
 * Returns whether a stop is in force: the target will not begin this run. A target
 * that refuses the stop has done nothing, and may still carry out a late start.
 */
export function isStopInForce({outcome, reason}: OrderAnswer): boolean {
  if (outcome === OrderOutcome.ACCEPTED) return true;
  return outcome === OrderOutcome.REFUSED && reason === REASON_OLD;
}

/** The calls to one incarnation of a target; each is sent at most once. */
export interface TargetConnection {
  readonly start: (call: StartCall) => Promise<OrderAnswer>;
  readonly stop: (call: StopCall) => Promise<OrderAnswer>;
  readonly hold: (call: HoldCall) => Promise<HoldAnswer>;
  readonly close: () => void;
}

/** An incarnation in whose name the target has answered. */
export interface ConfirmedIncarnation {
  readonly heartbeat: TargetHeartbeat;
  readonly connection: TargetConnection;
  readonly answer: OrderAnswer;
}

/** Creates the connection to the target incarnation that sent a heartbeat. */
export type ConnectTarget = (heartbeat: TargetHeartbeat) => TargetConnection;
