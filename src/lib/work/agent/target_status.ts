/** Descriptions of the target for target reports and for the log. */
import type {ReadMonotonicMs} from '../../core/clock.js';
import type {RunRegistry} from '../../decisions/run_registry.js';
import {computeHeldOutlook} from '../../decisions/look_ahead.js';
import {TargetPhase} from '../../core/work_frames.js';
import type {CapacityStep, TargetReport} from '../../core/work_frames.js';
import type {LineFields} from '../../observe/request_log.js';
import type {TargetClient} from './target_client.js';
import type {TargetHealthEstimate} from './target_health_estimate.js';

/** The parts of the target's state that the descriptions are built from. */
export interface DescribedTarget {
  readonly runs: RunRegistry;
  readonly api: TargetClient;
  readonly health: TargetHealthEstimate;
}

/** Settings and dependencies of an outlook. */
export interface OutlookOptions {
  readonly planAhead?: boolean;
  readonly readMonotonicMs: ReadMonotonicMs;
}

/** Tells when capacity comes free, as of now. */
export type ComputeOutlook = () => readonly CapacityStep[];

/** Builds the target report to the entries. */
export function describeTarget(
  {runs, api, health}: DescribedTarget,
  phase: TargetPhase,
): Omit<TargetReport, 'through'> {
  const heartbeat = api.heartbeat;
  return {
    phase,
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

/**
 * Creates what tells when capacity of the target comes free: never if it is to get no
 * run, or only probes. Undefined unless the agent plans ahead.
 *
 * @param computePhase Returns the phase that is reported, also while the agent drains.
 */
export function createOutlook(
  {runs, health}: DescribedTarget,
  computePhase: () => TargetPhase,
  {planAhead, readMonotonicMs}: OutlookOptions,
): ComputeOutlook | undefined {
  if (!planAhead) return undefined;
  return () => {
    if (computePhase() !== TargetPhase.READY || health.isSuspect) return [];
    const held = {runs: runs.listRuns(), unoccupied: runs.unoccupied};
    return computeHeldOutlook(held, health.slowness, readMonotonicMs());
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
