/** Messages between the tasks of an agent. */
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import type {HoldAnswer, OrderAnswer, TargetBeat} from './target_port.js';

/** Kinds of message to the runner. */
export enum WorkMessageKind {
  BEAT = 'beat',
  TARGET_LEFT = 'target-left',
  START_ANSWER = 'start-answer',
  STOP_ANSWER = 'stop-answer',
  HOLD_ANSWER = 'hold-answer',
  LINK_OPENED = 'link-opened',
  LINK_CLOSED = 'link-closed',
  FRAME = 'frame',
  TICK = 'tick',
  LEAVE = 'leave',
}

/** A message to the runner. */
export type WorkMessage =
  | {readonly kind: WorkMessageKind.BEAT; readonly beat: TargetBeat}
  | {readonly kind: WorkMessageKind.TARGET_LEFT; readonly id: string}
  | {
      readonly kind: WorkMessageKind.START_ANSWER | WorkMessageKind.STOP_ANSWER;
      /** Life of the target to which the order went. */
      readonly life: string;
      readonly task: string;
      readonly run: number;
      readonly answer: OrderAnswer;
    }
  | {
      readonly kind: WorkMessageKind.HOLD_ANSWER;
      readonly life: string;
      readonly sentAtMs: number;
      readonly isWatch: boolean;
      readonly answer: HoldAnswer;
    }
  | {
      readonly kind: WorkMessageKind.LINK_OPENED;
      readonly link: number;
      /** The entry's life. */
      readonly entry: string;
      readonly address: string;
    }
  | {
      readonly kind: WorkMessageKind.LINK_CLOSED;
      readonly link: number;
      readonly entry: string;
      /** Whether nothing listens at the entry's address any more. */
      readonly isRefused: boolean;
    }
  | {
      readonly kind: WorkMessageKind.FRAME;
      readonly link: number;
      readonly entry: string;
      readonly frame: EntryFrame;
    }
  | {readonly kind: WorkMessageKind.TICK}
  | {readonly kind: WorkMessageKind.LEAVE};

/** Kinds of message to the links. */
export enum LinksMessageKind {
  SEND = 'send',
  LEARN = 'learn',
  RECEIVED = 'received',
  BROKEN = 'broken',
  TICK = 'tick',
}

/** A message to the links. */
export type LinksMessage =
  | {
      readonly kind: LinksMessageKind.SEND;
      readonly link: number;
      readonly frame: AgentFrame;
    }
  | {
      readonly kind: LinksMessageKind.LEARN;
      readonly addresses: readonly string[];
    }
  | {
      readonly kind: LinksMessageKind.RECEIVED;
      readonly link: number;
      readonly frames: readonly EntryFrame[];
    }
  | {
      readonly kind: LinksMessageKind.BROKEN;
      readonly link: number;
      readonly detail: string;
    }
  | {readonly kind: LinksMessageKind.TICK};
