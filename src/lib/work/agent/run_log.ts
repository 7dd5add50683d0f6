/** The lines of an agent's log about its runs. */
import type {HeldRun} from '../../decisions/held_run.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {LineFields, RequestLog} from '../../observe/request_log.js';
import {RunEnd} from '../../core/work_frames.js';
import type {RunEndReport} from '../../core/work_frames.js';

/** Keeps a line of a run until the run ends. */
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

/** Keeps the line of a run that has begun. */
export function recordRunStart(requests: RequestLog, run: HeldRun): void {
  recordRun(requests, run, FleetEvent.RUN_STARTED, 'The run has begun.');
}

/** Notes the end of a run, and lets its lines go. */
export function recordRunEnd(
  requests: RequestLog,
  run: HeldRun,
  report: RunEndReport,
): void {
  const {end, cause, durationMs, job} = report;
  const {percent} = run;
  const fields = {end, cause, durationMs, percent};
  const text = `The run has ended: ${end}.`;
  recordRun(requests, run, FleetEvent.RUN_ENDED, text, fields);
  const isNotable = end !== RunEnd.DONE;
  requests.finish(`${report.task}#${report.run}`, job, isNotable);
}
