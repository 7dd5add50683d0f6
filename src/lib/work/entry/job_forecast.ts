/** What an entry learns from its jobs of the work that is to come. */
import type {ForecastTable} from '../../decisions/forecast_table.js';
import {computeCriticalPath} from '../../decisions/job_timing.js';
import type {ExpectedWork} from '../../decisions/work_forecast.js';
import type {JobRequest} from '../../core/work_job.js';
import type {ActiveJob} from './active_job.js';

/** Estimates the work of a job from its declaration and from earlier jobs. */
export function estimateWork(
  forecasts: ForecastTable,
  {steps, deadlineMs, queue}: JobRequest,
  nowMs: number,
): ExpectedWork {
  const estimateMs = computeCriticalPath(steps);
  return forecasts.estimate(queue, {estimateMs, deadlineMs}, nowMs);
}

/** Records the run time of a completed job. */
export function recordWork(
  forecasts: ForecastTable,
  {request, longestRunMs}: ActiveJob,
): void {
  const {steps, queue, deadlineMs} = request;
  // The critical path of several steps is longer than the longest task.
  if (steps.length > 1) return;
  const estimateMs = computeCriticalPath(steps);
  forecasts.record(queue, {estimateMs, deadlineMs}, longestRunMs);
}
