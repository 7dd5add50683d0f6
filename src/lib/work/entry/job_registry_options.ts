/** What the ledger of jobs needs to be created. */
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {RequestLog} from '../../observe/request_log.js';
import type {ActiveJob, ActiveTask} from './active_job.js';
import type {AgentSession} from './agent_session.js';

/** What the ledger needs. */
export interface JobRegistryOptions {
  readonly requests: RequestLog;
  readonly metrics: FleetMetrics;
  /** Asks the agent that holds a task's run to stop it. */
  readonly sendStop: (task: ActiveTask) => void;
  /** Returns how long a run would have taken on a typical target. */
  readonly scaleRun: (view: AgentSession, durationMs: number) => number;
  /** Is told of each job that was served, and whether it was in time. */
  readonly reportServed: (job: ActiveJob, isInTime: boolean) => void;
  /** Takes a task off the agent that held its run. */
  readonly releaseTask: (task: ActiveTask) => void;
}
