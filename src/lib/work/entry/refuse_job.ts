/** Refuses jobs: log line, metrics and answer. */
import {JobBudgetVerdict, measureJob} from '../../decisions/job_budget.js';
import type {JobBudget} from '../../decisions/job_budget.js';
import type {ExpectedWork} from '../../decisions/work_forecast.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {RequestLog} from '../../observe/request_log.js';
import {JobEnd, JobReason} from '../../core/work_job.js';
import type {JobAnswer} from '../../core/work_job.js';
import {describeJob} from './active_job.js';
import type {SubmitMessage} from './scheduler_messages.js';

/** What a refusal is recorded in. */
export interface RefusalOptions {
  readonly requests: RequestLog;
  readonly metrics: FleetMetrics;
  readonly budget: JobBudget;
}

/** A refusal, and the bound that the job would exceed, if it is one of the budget. */
export interface JobRefusal extends JobAnswer {
  readonly limit?: JobBudgetVerdict;
}

/**
 * Time in milliseconds after which a caller retries that was refused for the budget.
 * The jobs in progress end within a few seconds, most of them within one.
 */
const BUDGET_RETRY_MS = 1000;

/**
 * Reserves what a job holds. Returns the refusal if the budget has no room for it, which
 * says that the job has not run unless its caller may have sent it before.
 */
export function reserveJob(
  {budget, metrics}: RefusalOptions,
  {request}: SubmitMessage,
  expected: ExpectedWork,
): JobRefusal | undefined {
  const limit = budget.reserve(request.job, measureJob(request));
  if (limit === JobBudgetVerdict.RESERVED) return undefined;
  metrics.countJobOverBudget(limit);
  const end = expected.mayBeRepeat ? JobEnd.ABANDONED : JobEnd.REFUSED;
  const reason = JobReason.OVERLOADED;
  return {end, reason, retryAfterMs: BUDGET_RETRY_MS, limit};
}

/** Releases what was reserved for a job, and answers its caller. */
export function refuseJob(
  {requests, metrics, budget}: RefusalOptions,
  {request, rule, answer}: SubmitMessage,
  {end, reason, retryAfterMs, limit}: JobRefusal,
): void {
  const name = request.job;
  const fields = {...describeJob({request, rule}), retryAfterMs, limit};
  budget.release(name);
  const text = `Job refused: ${reason}.`;
  requests.add(name, FleetEvent.JOB_REFUSED, text, fields);
  metrics.countRefusal(rule.name, reason);
  requests.finish(name, name, true);
  answer({end, reason, retryAfterMs});
}
