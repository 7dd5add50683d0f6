/** Options of the scheduler of an entry. */
import type {
  ReadMonotonicMs,
  ReadSystemMs,
  StartTimer,
} from '../../core/clock.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import type {QueueForecasts} from '../../decisions/forecast_table.js';
import type {ChooseTarget} from '../../decisions/place_task.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';

/** Settings, dependencies and callbacks of a scheduler. */
export interface SchedulerOptions {
  readonly incarnation: string;
  /** Address by which agents reach this entry, `host:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Factor by which the run time is longer away from the preferred rack. */
  readonly farFactor: number;
  readonly chooseTarget: ChooseTarget;
  /** Chooses a full target by its outlook; absent unless the entry plans ahead. */
  readonly chooseAhead?: ChooseTarget;
  /** Whether placement looks at what waits and at what will end soon. */
  readonly planAhead?: boolean;
  /** Memory in MB of the process, which bounds what jobs hold; undefined if not given. */
  readonly memoryMb?: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly readSystemMs: ReadSystemMs;
  readonly startTimer: StartTimer;
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
  readonly reportFailure: (failure: unknown) => void;
  /** Called with whether the entry can accept jobs. */
  readonly reportReady: (isReady: boolean) => void;
  /** Called with each newer configuration, from the store or from an agent. */
  readonly applyConfiguration: (configuration: FleetConfiguration) => void;
  /** Called periodically with the forecasts learned for the queues. */
  readonly reportForecasts: (forecasts: QueueForecasts) => void;
  /** Called when the entry is draining and no job is left. */
  readonly reportIdle: () => void;
}
