/** Messages to the scheduler of an entry. */
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import type {
  FleetConfiguration,
  QueueRule,
} from '../../core/fleet_configuration.js';
import type {QueueForecasts} from '../../decisions/forecast_table.js';
import type {FrameStream} from '../link/frame_stream.js';
import type {JobRequest} from '../../core/work_job.js';
import type {AnswerCaller} from './active_job.js';
import type {JobState} from './work_charts.js';

/** Kinds of message to the scheduler. */
export enum SchedulerMessageKind {
  SUBMIT = 'submit',
  CALLER_DISCONNECTED = 'caller-gone',
  CANCEL = 'cancel',
  QUERY = 'query',
  COUNT = 'count',
  AGENT_FRAMES = 'agent-frames',
  AGENT_STREAM_ENDED = 'agent-closed',
  CONFIGURATION = 'configuration',
  ENTRIES = 'entries',
  FORECASTS = 'forecasts',
  TICK = 'tick',
  DRAIN = 'leave',
  END_UNFINISHED = 'give-up',
}

/** Submits a job. */
export interface SubmitMessage {
  readonly kind: SchedulerMessageKind.SUBMIT;
  readonly request: JobRequest;
  readonly rule: QueueRule;
  /** Number of the caller's request in this process. */
  readonly caller: number;
  readonly answer: AnswerCaller;
}

/** A message to the scheduler. */
export type SchedulerMessage =
  | SubmitMessage
  | {
      readonly kind: SchedulerMessageKind.CALLER_DISCONNECTED;
      readonly job: string;
      readonly caller: number;
    }
  | {
      readonly kind: SchedulerMessageKind.CANCEL;
      readonly job: string;
      /** Called with whether there was such a job. */
      readonly answer: (isKnown: boolean) => void;
    }
  | {
      readonly kind: SchedulerMessageKind.QUERY;
      readonly job: string;
      readonly answer: (state: JobState | undefined) => void;
    }
  | {
      readonly kind: SchedulerMessageKind.COUNT;
      readonly queue: string;
      readonly answer: (waiting: number) => void;
    }
  | {
      readonly kind: SchedulerMessageKind.AGENT_FRAMES;
      readonly stream: FrameStream<EntryFrame>;
      readonly frames: readonly AgentFrame[];
    }
  | {
      readonly kind: SchedulerMessageKind.AGENT_STREAM_ENDED;
      readonly stream: FrameStream<EntryFrame>;
      readonly detail: string;
    }
  | {
      readonly kind: SchedulerMessageKind.CONFIGURATION;
      readonly configuration: FleetConfiguration;
    }
  | {
      readonly kind: SchedulerMessageKind.ENTRIES;
      readonly addresses: readonly string[];
    }
  | {
      readonly kind: SchedulerMessageKind.FORECASTS;
      /** The forecasts read from the store. */
      readonly forecasts: QueueForecasts;
    }
  | {readonly kind: SchedulerMessageKind.TICK}
  | {readonly kind: SchedulerMessageKind.DRAIN}
  /** The process is about to end: all jobs end and every caller is answered. */
  | {readonly kind: SchedulerMessageKind.END_UNFINISHED};
