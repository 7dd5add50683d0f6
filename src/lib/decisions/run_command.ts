/** What a run book is told by its target, and what it asks its owner to do. */
import type {RunEnd, RunEndReport} from '../core/work_frames.js';
import type {HeldRun} from './held_run.js';

/** Kinds of command that the book gives. */
export enum RunCommandKind {
  SEND_START = 'send-start',
  SEND_STOP = 'send-stop',
  REPORT_STARTED = 'report-started',
  REPORT_END = 'report-end',
}

/** What the owner of the book must do next. */
export type RunCommand =
  | {
      readonly kind:
        | RunCommandKind.SEND_START
        | RunCommandKind.SEND_STOP
        | RunCommandKind.REPORT_STARTED;
      readonly run: HeldRun;
    }
  | {
      readonly kind: RunCommandKind.REPORT_END;
      readonly run: HeldRun;
      readonly report: RunEndReport;
    };

/** One row of a target's list of what runs. */
export interface ListedRun {
  readonly task: string;
  readonly run: number;
  readonly percent: number;
}

/** One row of a target's list of what has ended. */
export interface ListedEnd {
  /** Counts the ends of one life of the target from 1. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
}
