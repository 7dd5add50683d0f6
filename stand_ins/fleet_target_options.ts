/** Options and counters of the stand-in for a target that runs tasks under a lease. */
import type {RunReport} from './fleet_target_run.js';

/** Violations by the caller, as the target counts them. */
export interface TargetViolations {
  /** Starts that exceeded the target's capacity. */
  overCapacity: number;
  /** Starts of a task while another run of it was in progress. */
  duplicates: number;
}

/** Options of a target. */
export interface FleetTargetOptions {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Capacity in thousandths of a core. */
  readonly cpuMilli: number;
  /** Loopback host to listen on; 127.0.0.1 if absent. */
  readonly host?: string;
  /** Address that heartbeats are sent to, `host:port`. */
  readonly agentAddress: string;
  /**
   * Returns the duration of a run in milliseconds; a negative one makes the run
   * fail.
   */
  readonly computeRunMs: (payload: string) => number;
  /**
   * Returns a task's demand in thousandths of a core, which requests do not
   * carry.
   */
  readonly computeDemandMilli: (payload: string) => number;
  /** Whether a request gets a reply; if not, it is executed after a delay. */
  readonly isAnswered?: (path: string) => boolean;
  /** Whether a task crashes the target soon after its start. */
  readonly isDeadly?: (payload: string) => boolean;
  /** Receives each start and end of a run. */
  readonly reportRun?: (report: RunReport) => void;
}
