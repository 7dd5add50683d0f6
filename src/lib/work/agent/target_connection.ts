/** What an agent asks of the target beside it, whatever protocol it speaks. */
import type {ListedEnd, ListedRun} from '../../decisions/run_command.js';
import type {Resources} from '../../core/work_job.js';
import type {TargetPhase} from '../../core/work_frames.js';

/** What a target says of itself. */
export interface TargetHeartbeat {
  /** One life of the target: differs after each restart. */
  readonly incarnation: string;
  /** When that life began, in milliseconds since 1970; orders the lives. */
  readonly startedAtMs: number;
  /** The target's own id, expected by it in orders. */
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly phase: TargetPhase.READY | TargetPhase.DRAINING;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Rises with each beat of one life; an older one is ignored. */
  readonly sequence: number;
}

/** What became of an order to a target. */
export enum OrderOutcome {
  /** The target carried it out. */
  ACCEPTED = 'taken',
  /** The target has refused it and did nothing. */
  REFUSED = 'refused',
  /** The target's life that was meant is over. */
  OTHER_INCARNATION = 'other-life',
  /** Nothing listens at the target's address. */
  NOT_LISTENING = 'nobody',
  /** Nothing was sent. */
  NOT_SENT = 'not-sent',
  /** No answer came; the order may be carried out, now or later. */
  UNANSWERED = 'unanswered',
}

/** Tells whether the target has answered the order, whatever it said. */
export function isAnswer(outcome: OrderOutcome): boolean {
  return outcome === OrderOutcome.ACCEPTED || outcome === OrderOutcome.REFUSED;
}

/** The answer to an order. */
export interface OrderAnswer {
  readonly outcome: OrderOutcome;
  /** The target's word for its refusal; empty without one. */
  readonly reason: string;
  /** The target's steady clock; 0 if it was not told. */
  readonly clockMs: number;
}

/** The answer to a hold. */
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
  /** Time in milliseconds within which the answer must come. */
  readonly timeoutMs: number;
}

/** An order to stop a run. */
export interface StopCall {
  readonly task: string;
  readonly run: number;
  readonly fencingToken: number;
  /** Time in milliseconds within which the answer must come. */
  readonly timeoutMs: number;
}

/** Renews the lease of all that runs, acknowledges ends, asks for the lists. */
export interface HoldCall {
  readonly fencingToken: number;
  /** 0 renews nothing. */
  readonly deadlineMs: number;
  readonly ackedThrough: number;
  /** How long the target may wait for an end, in milliseconds. */
  readonly waitMs: number;
}

/** The calls to one life of a target; each is sent at most once. */
export interface TargetConnection {
  readonly start: (call: StartCall) => Promise<OrderAnswer>;
  readonly stop: (call: StopCall) => Promise<OrderAnswer>;
  readonly hold: (call: HoldCall) => Promise<HoldAnswer>;
  readonly close: () => void;
}

/** Prepares the calls to the life of a target that sent a beat. */
export type ConnectTarget = (beat: TargetHeartbeat) => TargetConnection;
