/** Log lines about an agent's runs. */
import type {HeldRun} from '../../decisions/held_run.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {LineFields, RequestLog} from '../../observe/request_log.js';
import {RunEnd} from '../../core/work_frames.js';
import type {RunEndReport} from '../../core/work_frames.js';

/** Buffers a log line about a run until the run ends. */
export function recordRun(
  requests: RequestLog,
  {order}: HeldRun,
  event: FleetEvent,
  message: string,
  fields: LineFields = {},
): void {
  const {task, run, job, request} = order;
  const key = `${task}#${run}`;
  requests.add(key, event, message, {job, request, task, run, ...fields});
}

/** Buffers the log line for the start of a run. */
export function recordRunStart(requests: RequestLog, run: HeldRun): void {
  const {owner, order} = run;
  const fields = {owner, sequence: order.sequence};
  recordRun(requests, run, FleetEvent.RUN_STARTED, 'The run started.', fields);
}

/** Logs the end of a run and releases its buffered lines. */
export function recordRunEnd(
  requests: RequestLog,
  run: HeldRun,
  report: RunEndReport,
): void {
  const {end, cause, durationMs, job} = report;
  const {percent} = run;
  const fields = {end, cause, durationMs, percent};
  const text = `The run ended: ${end}.`;
  recordRun(requests, run, FleetEvent.RUN_ENDED, text, fields);
  const isNotable = end !== RunEnd.DONE;
  requests.finish(`${report.task}#${report.run}`, job, isNotable);
}
