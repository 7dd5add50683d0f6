/** Rows of a target's lists, and the commands that a run registry emits. */
import type {RunEnd, RunEndReport} from '../core/work_frames.js';
import type {HeldRun} from './held_run.js';

/** Kinds of command that the registry emits. */
export enum RunCommandKind {
  SEND_START = 'send-start',
  SEND_STOP = 'send-stop',
  REPORT_STARTED = 'report-started',
  REPORT_END = 'report-end',
}

/** A command that the owner of the registry has to carry out. */
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

/** Describes the end of a run to its entry. */
export function createEndReport(
  {order, startSentAtMs, cause}: HeldRun,
  end: RunEnd,
  nowMs: number,
): RunEndReport {
  const {task, run, job} = order;
  const isSent = startSentAtMs > 0;
  const durationMs = isSent ? Math.round(nowMs - startSentAtMs) : 0;
  return {task, run, job, end, cause, durationMs};
}

/** One row of a target's list of current runs. */
export interface ListedRun {
  readonly task: string;
  readonly run: number;
  readonly percent: number;
}

/** One row of a target's list of ended runs. */
export interface ListedEnd {
  /** Sequence number of the end within the target's incarnation, from 1. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
}
