/** Types in the interface of the target controller. */
import type {ReadMonotonicMs, ReadSystemMs} from '../../core/clock.js';
import type {Post} from '../../core/task.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {RequestLog} from '../../observe/request_log.js';
import type {ObservedCrash} from '../../decisions/crash_evidence.js';
import type {RunEndReport} from '../../core/work_frames.js';
import type {RunnerMessage} from './runner_messages.js';
import type {ConnectTarget} from './target_api.js';

/** Dependencies of the target controller. */
export interface TargetControllerOptions {
  /** Whether entries are told when capacity will come free, and gaps are filled. */
  readonly planAhead?: boolean;
  readonly connectTarget: ConnectTarget;
  readonly post: Post<RunnerMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly readSystemMs: ReadSystemMs;
  readonly log: FleetLog;
  readonly requests: RequestLog;
  readonly metrics: FleetMetrics;
  /** Returns the time at which the contact with an owner ends, or has ended. */
  readonly computeContactEnd: (owner: string) => number;
  /** Called with the end of each run. */
  readonly deliverEnd: (owner: string, report: RunEndReport) => void;
  /** Called with the runs of a target that crashed, before their ends. */
  readonly publishCrash: (crash: ObservedCrash, nowMs: number) => void;
}

/** Identifies the run that an answer belongs to. */
export interface RunId {
  readonly task: string;
  readonly run: number;
}
