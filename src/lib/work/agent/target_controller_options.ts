/** What the desk of an agent's target is made of. */
import type {ReadMonotonicMs} from '../../core/clock.js';
import type {Post} from '../../core/task.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {RequestLog} from '../../observe/request_log.js';
import type {RunEndReport} from '../../core/work_frames.js';
import type {RunnerMessage} from './runner_messages.js';
import type {ConnectTarget} from './target_connection.js';

/** What the desk needs. */
export interface TargetControllerOptions {
  readonly connectTarget: ConnectTarget;
  readonly post: Post<RunnerMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly log: FleetLog;
  readonly requests: RequestLog;
  readonly metrics: FleetMetrics;
  /** Is handed the end of each run. */
  readonly deliverEnd: (owner: string, report: RunEndReport) => void;
}

/** Names a run in the answer to an order. */
export interface AnsweredRun {
  readonly task: string;
  readonly run: number;
}
