/** What the fleet of agents of an entry needs to be created. */
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import type {
  EntryFrame,
  EntryFrameKind,
  RunEndReport,
} from '../../core/work_frames.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {ActiveTask} from './active_job.js';
import type {AgentSession} from './agent_session.js';
import type {RunStatusChange} from './run_status_change.js';

/** What the fleet needs. */
export interface AgentFleetOptions {
  readonly incarnation: string;
  /** Address by which agents reach this entry. */
  readonly address: string;
  readonly dataCentre: string;
  readonly log: FleetLog;
  readonly handleRunEnd: (view: AgentSession, report: RunEndReport) => void;
  readonly handleRunStatus: (task: ActiveTask, news: RunStatusChange) => void;
  readonly handleConfiguration: (configuration: FleetConfiguration) => void;
  readonly getConfiguration: () => FleetConfiguration | undefined;
  /** Describes what waits here, for the answer to a ping. */
  readonly describeBacklog: () => Omit<
    Extract<EntryFrame, {kind: EntryFrameKind.PONG}>,
    'kind' | 'sentAtMs'
  >;
}
