/** Messages between the agent's tasks: the work runner and the link manager. */
import {EntryFrameKind} from '../../core/work_frames.js';
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import {OrderOutcome} from './target_api.js';
import type {HoldAnswer, OrderAnswer, TargetHeartbeat} from './target_api.js';

/** Kinds of message to the work runner. */
export enum RunnerMessageKind {
  HEARTBEAT = 'beat',
  TARGET_DEREGISTERED = 'target-left',
  START_ANSWER = 'start-answer',
  STOP_ANSWER = 'stop-answer',
  HOLD_ANSWER = 'hold-answer',
  CLAIM_ANSWER = 'claim-answer',
  LINK_OPENED = 'link-opened',
  LINK_CLOSED = 'link-closed',
  LINK_WANTED = 'link-wanted',
  FRAME = 'frame',
  TICK = 'tick',
  DRAIN = 'leave',
}

/** A message to the work runner. */
export type RunnerMessage =
  | {
      readonly kind: RunnerMessageKind.HEARTBEAT;
      readonly heartbeat: TargetHeartbeat;
    }
  | {
      readonly kind: RunnerMessageKind.TARGET_DEREGISTERED;
      readonly id: string;
      /** Start of the incarnation that left; undefined if not known. */
      readonly startMs: number | undefined;
    }
  | {
      readonly kind:
        RunnerMessageKind.START_ANSWER | RunnerMessageKind.STOP_ANSWER;
      /** Incarnation of the target to which the order went. */
      readonly incarnation: string;
      readonly task: string;
      readonly run: number;
      readonly answer: OrderAnswer;
    }
  | {
      readonly kind: RunnerMessageKind.HOLD_ANSWER;
      readonly incarnation: string;
      readonly sentAtMs: number;
      readonly isLongPoll: boolean;
      /** Token that the call carried. */
      readonly fencingToken: number;
      readonly answer: HoldAnswer;
    }
  | {
      readonly kind: RunnerMessageKind.CLAIM_ANSWER;
      /** Incarnation to which the call was addressed. */
      readonly incarnation: string;
      readonly call: number;
      /** Token that the call carried. */
      readonly fencingToken: number;
      readonly answer: HoldAnswer;
    }
  | {
      readonly kind: RunnerMessageKind.LINK_OPENED;
      readonly linkId: number;
      /** Incarnation of the entry. */
      readonly entry: string;
      readonly address: string;
      /** Monotonic time in milliseconds at which the agent began to open it. */
      readonly openedAtMs: number;
    }
  | {
      readonly kind: RunnerMessageKind.LINK_CLOSED;
      readonly linkId: number;
      readonly entry: string;
      /** Whether the entry's address refused the connection. */
      readonly isRefused: boolean;
    }
  | {
      /** An open link is to be kept, or to be closed once no run needs it. */
      readonly kind: RunnerMessageKind.LINK_WANTED;
      readonly entry: string;
      readonly isWanted: boolean;
    }
  | {
      readonly kind: RunnerMessageKind.FRAME;
      readonly linkId: number;
      readonly entry: string;
      readonly frame: EntryFrame;
    }
  | {readonly kind: RunnerMessageKind.TICK}
  | {readonly kind: RunnerMessageKind.DRAIN};

/** Kinds of message to the link manager. */
export enum LinkMessageKind {
  SEND = 'send',
  CLOSE = 'close',
  ADD_ADDRESSES = 'learn',
  RECEIVED = 'received',
  STREAM_FAILED = 'broken',
  TICK = 'tick',
}

/** A message to the link manager. */
export type LinkMessage =
  | {
      readonly kind: LinkMessageKind.SEND;
      readonly linkId: number;
      readonly frame: AgentFrame;
    }
  | {readonly kind: LinkMessageKind.CLOSE; readonly linkId: number}
  | {
      readonly kind: LinkMessageKind.ADD_ADDRESSES;
      readonly addresses: readonly string[];
    }
  | {
      readonly kind: LinkMessageKind.RECEIVED;
      readonly linkId: number;
      readonly frames: readonly EntryFrame[];
    }
  | {
      readonly kind: LinkMessageKind.STREAM_FAILED;
      readonly linkId: number;
      readonly detail: string;
    }
  | {readonly kind: LinkMessageKind.TICK};

/** A frame of an entry, with the link that it came by. */
export type EntryFrameMessage = Extract<
  RunnerMessage,
  {kind: RunnerMessageKind.FRAME}
>;

/** The answer to a hold call, with what identifies the call. */
export type HeldAnswer = Extract<
  RunnerMessage,
  {kind: RunnerMessageKind.HOLD_ANSWER}
>;

/** An answer of the target's current incarnation, or of an earlier one. */
export type TargetAnswer = Extract<
  RunnerMessage,
  {
    kind:
      | RunnerMessageKind.START_ANSWER
      | RunnerMessageKind.STOP_ANSWER
      | RunnerMessageKind.HOLD_ANSWER;
  }
>;

/** The answer to a call to an incarnation that is not confirmed yet. */
export type ClaimAnswer = Extract<
  RunnerMessage,
  {kind: RunnerMessageKind.CLAIM_ANSWER}
>;

/** Returns whether a message changes neither the load nor what may start next. */
export function isWithoutEffect(message: RunnerMessage): boolean {
  if (message.kind === RunnerMessageKind.FRAME) {
    return message.frame.kind === EntryFrameKind.PONG;
  }
  return (
    message.kind === RunnerMessageKind.START_ANSWER &&
    message.answer.outcome === OrderOutcome.ACCEPTED
  );
}
