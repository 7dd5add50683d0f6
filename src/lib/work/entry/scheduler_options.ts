/** What the scheduler of an entry needs to be created. */
import type {ReadMonotonicMs, StartTimer} from '../../core/clock.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import type {QueueForecasts} from '../../decisions/forecast_table.js';
import type {ChooseTarget} from '../../decisions/place_task.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';

/** What the scheduler needs to be created. */
export interface SchedulerOptions {
  readonly incarnation: string;
  /** Address by which agents reach this entry, `host:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Run time away from the preferred rack, as a multiple. */
  readonly farFactor: number;
  readonly chooseTarget: ChooseTarget;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
  readonly reportFailure: (failure: unknown) => void;
  /** Is told when the entry can take jobs and when it cannot. */
  readonly reportReady: (isReady: boolean) => void;
  /** Is handed a newer configuration, wherever it came from. */
  readonly applyConfiguration: (configuration: FleetConfiguration) => void;
  /** Is told from time to time what was learned of the queues. */
  readonly reportForecasts: (forecasts: QueueForecasts) => void;
  /** Is called when a stop was asked for and no job is left. */
  readonly reportIdle: () => void;
}
