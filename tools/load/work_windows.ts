/** Work done between the events of a run, over what could have been done. */
import type {IdealTarget} from './ideal_time.js';
import type {LoadSettings} from './load_settings.js';
import type {RunRecord} from './run_load.js';

/** A stretch of time between two events. */
export interface WorkWindow {
  readonly fromMs: number;
  readonly toMs: number;
  /** Event at which the window begins. */
  readonly event: string;
  /** Work done, in milliseconds on a target of usual speed. */
  readonly doneMs: number;
  /** What the targets in service could have done. */
  readonly capacityMs: number;
  /** Work that came in, and that of before which was not done. */
  readonly offeredMs: number;
  /** Work done over the smaller of the other two. */
  readonly share: number;
}

/** Measures the windows between the events, the first from the warm-up on. */
export function measureWindows(
  settings: LoadSettings,
  record: RunRecord,
  targets: readonly IdealTarget[],
): WorkWindow[] {
  const endMs = settings.warmUpMs + settings.durationMs;
  const begins = [
    {atMs: settings.warmUpMs, name: 'start'},
    ...settings.events.map(({atMs, kind, subject}) => ({
      atMs,
      name: `${kind} ${subject}`.trim(),
    })),
  ];
  return begins.map(({atMs, name}, index) => {
    const toMs = begins[index + 1]?.atMs ?? endMs;
    const doneMs = sumDone(record, targets, atMs, toMs);
    const backlogMs =
      sumOffered(record, 0, atMs) - sumDone(record, targets, 0, atMs);
    const offeredMs = backlogMs + sumOffered(record, atMs, toMs);
    const capacityMs = computeCapacityOf(targets, atMs) * (toMs - atMs);
    const possibleMs = Math.max(1, Math.min(capacityMs, offeredMs));
    const share = doneMs / possibleMs;
    return {
      fromMs: atMs,
      toMs,
      event: name,
      doneMs,
      capacityMs,
      offeredMs,
      share,
    };
  });
}

function computeCapacityOf(
  targets: readonly IdealTarget[],
  atMs: number,
): number {
  return targets
    .filter(target => target.isInService(atMs))
    .reduce((sum, target) => sum + target.slots / target.slowness, 0);
}

function sumDone(
  record: RunRecord,
  targets: readonly IdealTarget[],
  fromMs: number,
  toMs: number,
): number {
  return record.runs.reduce((sum, run) => {
    const lengthMs = Math.min(run.endMs, toMs) - Math.max(run.startMs, fromMs);
    if (lengthMs <= 0) return sum;
    return sum + lengthMs / targets[run.target].slowness;
  }, 0);
}

function sumOffered(record: RunRecord, fromMs: number, toMs: number): number {
  return record.plan
    .filter(job => job.atMs >= fromMs && job.atMs < toMs)
    .flatMap(job => job.tasks)
    .reduce((sum, task) => sum + task.runMs, 0);
}
