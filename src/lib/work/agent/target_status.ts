/** How an agent describes its target to entries and in its log. */
import type {RunRegistry} from '../../decisions/run_registry.js';
import type {TargetReport} from '../../core/work_frames.js';
import type {LineFields} from '../../observe/request_log.js';
import type {TargetClient} from './target_client.js';
import type {TargetHealthEstimate} from './target_health_estimate.js';

/** What is described. */
export interface DescribedTarget {
  readonly runs: RunRegistry;
  readonly client: TargetClient;
  readonly health: TargetHealthEstimate;
}

/** Describes the target to the entries. */
export function describeTarget({
  runs: book,
  client: target,
  health: opinion,
}: DescribedTarget): Omit<TargetReport, 'through' | 'phase'> {
  const beat = target.heartbeat;
  return {
    service: beat?.service ?? '',
    life: beat?.incarnation ?? '',
    labels: beat?.labels ?? [],
    capacity: book.room,
    free: opinion.computeFreeCapacity(),
    waiting: book.countQueued(),
    slowness: opinion.slowness,
    isSuspect: opinion.isSuspect,
  };
}

/** Describes the target for the log. */
export function describeStatus({
  runs: book,
  client: target,
  health: opinion,
}: DescribedTarget): LineFields {
  return {
    runs: book.listRuns().length,
    queued: book.countQueued(),
    freeMilli: book.free.cpuMilli,
    answerLimitMs: target.answerTimeoutMs,
    slowness: opinion.slowness,
  };
}
