/** Types in the interface of the work runner. */
import type {
  ReadMonotonicMs,
  ReadSystemMs,
  StartTimer,
} from '../../core/clock.js';
import type {Post} from '../../core/task.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {LinkMessage} from './runner_messages.js';
import type {ConnectTarget} from './target_api.js';

/** Dependencies and settings of the work runner. */
export interface WorkRunnerOptions {
  readonly agent: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** Whether entries are told when capacity will come free, and gaps are filled. */
  readonly planAhead?: boolean;
  readonly connectTarget: ConnectTarget;
  readonly postToLinks: Post<LinkMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly readSystemMs: ReadSystemMs;
  readonly startTimer: StartTimer;
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
  /** Called when a drain is complete: nothing runs, all ends are delivered. */
  readonly reportIdle: () => void;
  readonly reportFailure: (failure: unknown) => void;
}
