/** Options of the job registry. */
import type {JobBudget} from '../../decisions/job_budget.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {RequestLog} from '../../observe/request_log.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import type {AgentSession} from './agent_session.js';

/** Dependencies and callbacks of a job registry. */
export interface JobRegistryOptions {
  readonly requests: RequestLog;
  /** Whether a job whose orders were all returned counts as not started. */
  readonly planAhead?: boolean;
  readonly metrics: FleetMetrics;
  /** Holds a reservation for each job in progress. */
  readonly budget: JobBudget;
  /** Requests the agent that holds a task's run to stop it. */
  readonly sendStop: (task: ActiveTask) => void;
  /** Scales the duration of a run to a typical target, in milliseconds. */
  readonly scaleRun: (session: AgentSession, durationMs: number) => number;
  /** Called for each completed job, with whether it was in time. */
  readonly reportServed: (job: ActiveJob, isInTime: boolean) => void;
  /** Removes a task from the session of the agent that held its run. */
  readonly releaseTask: (task: ActiveTask) => void;
}
