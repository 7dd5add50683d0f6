/** Events and levels of the log of the entries and agents in `src/lib/work`. */
import {LogLevel} from '../settings/settings_schema.js';

/** Events of the log; written as field `event` of a line. */
export enum FleetEvent {
  STARTED = 'started',
  STOPPING = 'stopping',
  STOPPED = 'stopped',
  FAILURE = 'failure',
  SETTINGS_RELOADED = 'settings-reloaded',
  RESUMED = 'resumed',
  /** The number of links that the agents of an entry need has changed. */
  SUBSET_CHANGED = 'subset-changed',
  CONFIGURATION_APPLIED = 'configuration-taken',
  CONFIGURATION_REJECTED = 'configuration-rejected',
  CONFIGURATION_REQUESTED = 'configuration-requested',
  STORE_LOST = 'store-lost',
  STORE_RECOVERED = 'store-regained',
  FORECASTS_NOT_STORED = 'forecasts-not-kept',
  ENTRY_CONNECTED = 'entry-connected',
  ENTRY_LOST = 'entry-lost',
  AGENT_CONNECTED = 'agent-connected',
  AGENT_DISCONNECTED = 'agent-away',
  HELLO_REJECTED = 'hello-rejected',
  RUNS_OVER = 'runs-over',
  TARGET_FOUND = 'target-found',
  TARGET_READY = 'target-ready',
  TARGET_DRAINING = 'target-draining',
  TARGET_LOST = 'target-lost',
  TARGET_CRASHED = 'target-crashed',
  /** What an agent held when its target crashed. */
  CRASH_RECORDED = 'crash-recorded',
  TARGET_TRUST_CHANGED = 'target-trust',
  HEARTBEAT_REJECTED = 'beat-rejected',
  /** Connections were closed whose clients were outside the limits. */
  CLIENTS_CUT = 'clients-cut',
  REQUEST_REJECTED = 'request-rejected',
  JOB_ADMITTED = 'job-admitted',
  JOB_REFUSED = 'job-refused',
  JOB_ENDED = 'job-ended',
  CALLER_DISCONNECTED = 'caller-gone',
  TASK_PLACED = 'task-placed',
  TASK_RECALLED = 'task-recalled',
  TASK_RETURNED = 'task-returned',
  ORDER_FAILED = 'order-failed',
  RUN_STARTED = 'run-started',
  RUN_STOPPED = 'run-stopped',
  RUN_ENDED = 'run-ended',
  STATUS = 'status',
  LINES_DROPPED = 'lines-left-out',
}

/** Writes one line to the log. */
export type FleetLog = (
  event: FleetEvent,
  message: string,
  fields?: Readonly<Record<string, unknown>>,
) => void;

/** Levels of the events; an event that is not listed has level info. */
export const FLEET_LOG_LEVELS: Readonly<Partial<Record<FleetEvent, LogLevel>>> =
  {
    [FleetEvent.FAILURE]: LogLevel.ERROR,
    [FleetEvent.STORE_LOST]: LogLevel.WARN,
    [FleetEvent.CLIENTS_CUT]: LogLevel.WARN,
    [FleetEvent.AGENT_DISCONNECTED]: LogLevel.WARN,
    [FleetEvent.TARGET_LOST]: LogLevel.WARN,
    [FleetEvent.TARGET_CRASHED]: LogLevel.WARN,
    [FleetEvent.CRASH_RECORDED]: LogLevel.WARN,
  };
