/** Compares the work done between events of a run with the work possible. */
import type {IdealTarget} from './ideal_time.js';
import type {LoadSettings} from './load_settings.js';
import type {RunRecord} from './run_load.js';

/** Work during the time between two events. */
export interface WorkWindow {
  readonly fromMs: number;
  readonly toMs: number;
  /** Event at which the window begins. */
  readonly event: string;
  /** Work done, in milliseconds on a target of nominal speed. */
  readonly doneMs: number;
  /** Work that the targets in service could have done. */
  readonly capacityMs: number;
  /** Work that arrived in the window, plus the backlog at its start. */
  readonly offeredMs: number;
  /** Work done over the smaller of capacity and offered work. */
  readonly share: number;
}

/** Measures the windows between events; the first starts after the warm-up. */
export function measureWindows(
  settings: LoadSettings,
  record: RunRecord,
  targets: readonly IdealTarget[],
): WorkWindow[] {
  const endMs = settings.warmUpMs + settings.durationMs;
  const windowStarts = [
    {atMs: settings.warmUpMs, name: 'start'},
    ...settings.events.map(({atMs, kind, subject}) => ({
      atMs,
      name: `${kind} ${subject}`.trim(),
    })),
  ];
  return windowStarts.map(({atMs, name}, index) => {
    const toMs = windowStarts[index + 1]?.atMs ?? endMs;
    const doneMs = sumDoneWork(record, targets, atMs, toMs);
    const backlogMs =
      sumOfferedWork(record, 0, atMs) - sumDoneWork(record, targets, 0, atMs);
    const offeredMs = backlogMs + sumOfferedWork(record, atMs, toMs);
    const capacityMs = computeCapacityAt(targets, atMs) * (toMs - atMs);
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

function computeCapacityAt(
  targets: readonly IdealTarget[],
  atMs: number,
): number {
  return targets
    .filter(target => target.isInService(atMs))
    .reduce((sum, target) => sum + target.slots / target.slowness, 0);
}

function sumDoneWork(
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

function sumOfferedWork(
  record: RunRecord,
  fromMs: number,
  toMs: number,
): number {
  return record.plan
    .filter(job => job.atMs >= fromMs && job.atMs < toMs)
    .flatMap(job => job.tasks)
    .reduce((sum, task) => sum + task.runMs, 0);
}
