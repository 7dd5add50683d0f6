/** How an agent describes its target to entries and in its log. */
import type {RunBook} from '../../decisions/run_book.js';
import type {TargetReport} from '../../core/work_frames.js';
import type {LineFields} from '../../observe/request_log.js';
import type {TargetLink} from './target_link.js';
import type {TargetOpinion} from './target_opinion.js';

/** What is described. */
export interface DescribedTarget {
  readonly book: RunBook;
  readonly target: TargetLink;
  readonly opinion: TargetOpinion;
}

/** Describes the target to the entries. */
export function describeTarget({
  book,
  target,
  opinion,
}: DescribedTarget): Omit<TargetReport, 'through' | 'phase'> {
  const beat = target.latest;
  return {
    service: beat?.service ?? '',
    life: beat?.life ?? '',
    labels: beat?.labels ?? [],
    capacity: book.room,
    free: opinion.describeRoom(),
    waiting: book.countQueued(),
    slowness: opinion.slowness,
    isSuspect: opinion.isSuspect,
  };
}

/** Describes the target for the log. */
export function describeStatus({
  book,
  target,
  opinion,
}: DescribedTarget): LineFields {
  return {
    runs: book.listRuns().length,
    queued: book.countQueued(),
    freeMilli: book.free.cpuMilli,
    answerLimitMs: target.answerLimitMs,
    slowness: opinion.slowness,
  };
}
