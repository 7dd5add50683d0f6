/** Descriptions of the target for target reports and for the log. */
import type {RunRegistry} from '../../decisions/run_registry.js';
import type {TargetReport} from '../../core/work_frames.js';
import type {LineFields} from '../../observe/request_log.js';
import type {TargetClient} from './target_client.js';
import type {TargetHealthEstimate} from './target_health_estimate.js';

/** The parts of the target's state that the descriptions are built from. */
export interface DescribedTarget {
  readonly runs: RunRegistry;
  readonly api: TargetClient;
  readonly health: TargetHealthEstimate;
}

/** Builds the target report to the entries; the caller adds `phase`. */
export function describeTarget({
  runs,
  api,
  health,
}: DescribedTarget): Omit<TargetReport, 'through' | 'phase'> {
  const heartbeat = api.heartbeat;
  return {
    service: heartbeat?.service ?? '',
    life: heartbeat?.incarnation ?? '',
    labels: heartbeat?.labels ?? [],
    capacity: runs.totalCapacity,
    token: api.token.value,
    kinds: api.kinds.list(),
    free: health.computeFreeCapacity(),
    waiting: runs.countQueued(),
    slowness: Math.round(health.slowness * 1000) / 1000,
    isSuspect: health.isSuspect,
  };
}

/** Builds the fields of the periodic status line in the log. */
export function describeStatus({
  runs,
  api,
  health,
}: DescribedTarget): LineFields {
  return {
    runs: runs.listRuns().length,
    queued: runs.countQueued(),
    freeMilli: runs.free.cpuMilli,
    answerLimitMs: api.answerTimeoutMs,
    slowness: health.slowness,
  };
}
