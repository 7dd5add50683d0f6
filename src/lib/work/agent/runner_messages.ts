/** Messages between the tasks of an agent. */
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import type {
  HoldAnswer,
  OrderAnswer,
  TargetHeartbeat,
} from './target_connection.js';

/** Kinds of message to the runner. */
export enum RunnerMessageKind {
  HEARTBEAT = 'beat',
  TARGET_LEFT = 'target-left',
  START_ANSWER = 'start-answer',
  STOP_ANSWER = 'stop-answer',
  HOLD_ANSWER = 'hold-answer',
  LINK_OPENED = 'link-opened',
  LINK_CLOSED = 'link-closed',
  FRAME = 'frame',
  TICK = 'tick',
  DRAIN = 'leave',
}

/** A message to the runner. */
export type RunnerMessage =
  | {readonly kind: RunnerMessageKind.HEARTBEAT; readonly beat: TargetHeartbeat}
  | {readonly kind: RunnerMessageKind.TARGET_LEFT; readonly id: string}
  | {
      readonly kind:
        RunnerMessageKind.START_ANSWER | RunnerMessageKind.STOP_ANSWER;
      /** Life of the target to which the order went. */
      readonly life: string;
      readonly task: string;
      readonly run: number;
      readonly answer: OrderAnswer;
    }
  | {
      readonly kind: RunnerMessageKind.HOLD_ANSWER;
      readonly life: string;
      readonly sentAtMs: number;
      readonly isWatch: boolean;
      readonly answer: HoldAnswer;
    }
  | {
      readonly kind: RunnerMessageKind.LINK_OPENED;
      readonly link: number;
      /** The entry's life. */
      readonly entry: string;
      readonly address: string;
    }
  | {
      readonly kind: RunnerMessageKind.LINK_CLOSED;
      readonly link: number;
      readonly entry: string;
      /** Whether nothing listens at the entry's address any more. */
      readonly isRefused: boolean;
    }
  | {
      readonly kind: RunnerMessageKind.FRAME;
      readonly link: number;
      readonly entry: string;
      readonly frame: EntryFrame;
    }
  | {readonly kind: RunnerMessageKind.TICK}
  | {readonly kind: RunnerMessageKind.DRAIN};

/** Kinds of message to the links. */
export enum LinkMessageKind {
  SEND = 'send',
  ADD_ADDRESSES = 'learn',
  RECEIVED = 'received',
  STREAM_FAILED = 'broken',
  TICK = 'tick',
}

/** A message to the links. */
export type LinkMessage =
  | {
      readonly kind: LinkMessageKind.SEND;
      readonly link: number;
      readonly frame: AgentFrame;
    }
  | {
      readonly kind: LinkMessageKind.ADD_ADDRESSES;
      readonly addresses: readonly string[];
    }
  | {
      readonly kind: LinkMessageKind.RECEIVED;
      readonly link: number;
      readonly frames: readonly EntryFrame[];
    }
  | {
      readonly kind: LinkMessageKind.STREAM_FAILED;
      readonly link: number;
      readonly detail: string;
    }
  | {readonly kind: LinkMessageKind.TICK};
