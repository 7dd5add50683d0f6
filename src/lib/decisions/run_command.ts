/** Rows of a target's lists, and the commands that a run registry emits. */
import {RunEnd} from '../core/work_frames.js';
import type {RunEndReport} from '../core/work_frames.js';
import {RunAction} from './held_run.js';
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

/**
 * Creates the command for an action of the state chart.
 *
 * @param end How the target reports that the run ended.
 */
export function createCommand(
  action: RunAction,
  run: HeldRun,
  nowMs: number,
  end: RunEnd,
): RunCommand {
  switch (action) {
    case RunAction.SEND_START:
      return {kind: RunCommandKind.SEND_START, run};
    case RunAction.SEND_STOP:
      return {kind: RunCommandKind.SEND_STOP, run};
    case RunAction.REPORT_STARTED:
      return {kind: RunCommandKind.REPORT_STARTED, run};
    case RunAction.REPORT_NOT_STARTED:
      return createEndCommand(run, RunEnd.NOT_STARTED, nowMs);
    case RunAction.REPORT_STOPPED:
      return createEndCommand(run, RunEnd.STOPPED, nowMs);
    case RunAction.REPORT_LOST:
      return createEndCommand(run, RunEnd.LOST, nowMs);
    case RunAction.REPORT_END:
      return createEndCommand(run, end, nowMs);
  }
}

function createEndCommand(
  run: HeldRun,
  end: RunEnd,
  nowMs: number,
): RunCommand {
  const report = createEndReport(run, end, nowMs);
  return {kind: RunCommandKind.REPORT_END, run, report};
}

/** Describes the end of a run to its entry. */
function createEndReport(
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
