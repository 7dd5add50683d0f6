/** Options of the agent fleet of an entry. */
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import type {TargetCrash} from '../../core/target_crash.js';
import type {RunEndReport} from '../../core/work_frames.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {ActiveTask} from './active_job.js';
import type {AgentSession} from './agent_session.js';
import type {RunStatusChange} from './run_status_change.js';

/** Settings and callbacks of an agent fleet. */
export interface AgentFleetOptions {
  readonly incarnation: string;
  /** Address by which agents reach this entry. */
  readonly address: string;
  readonly dataCentre: string;
  readonly log: FleetLog;
  readonly handleRunEnd: (session: AgentSession, report: RunEndReport) => void;
  /** Called with a crash and the incarnation of the agent that reports it. */
  readonly handleCrash: (crash: TargetCrash, agentLife: string) => void;
  readonly handleRunStatus: (task: ActiveTask, change: RunStatusChange) => void;
  readonly handleConfiguration: (configuration: FleetConfiguration) => void;
  readonly getConfiguration: () => FleetConfiguration | undefined;
  /** Returns the backlog of this entry in core-milliseconds. */
  readonly getBacklog: () => number;
  /** Lists the addresses of the entries that an agent may link to. */
  readonly listEntriesFor: (agent: string) => readonly string[];
}
