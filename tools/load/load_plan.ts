/** Generates the jobs of a load, with their arrival times and tasks, from a seed. */
import type {DrawRandom} from '../../src/lib/core/clock.js';
import type {
  FleetSettings,
  LoadSettings,
  WeightedRange,
  TeamSettings,
} from './load_settings.js';

/** One task of a planned job, with its actual and its declared run time. */
export interface PlannedTask {
  /** Run time on a target of nominal speed. */
  readonly runMs: number;
  readonly declaredMs: number;
}

/** One job of a load plan. */
export interface PlannedJob {
  readonly number: number;
  /** Planned submission time since the start of the load. */
  readonly atMs: number;
  readonly team: string;
  readonly value: number;
  readonly tasks: readonly PlannedTask[];
  /** False for jobs that arrive during the warm-up, which are not measured. */
  readonly isCounted: boolean;
}

const PERCENT = 100;

/** Returns the capacity of the fleet: milliseconds of work done per millisecond. */
export function computeCapacity(fleet: FleetSettings): number {
  let capacity = 0;
  for (let target = 0; target < fleet.targets; target += 1) {
    capacity += fleet.slots / getSlowness(fleet, target);
  }
  return capacity;
}

/** Returns the ratio of run times on a target to the nominal run times. */
export function getSlowness(fleet: FleetSettings, target: number): number {
  const list = fleet.slownessPercent;
  return list[target % list.length] / PERCENT;
}

/**
 * Generates a plan; the same seed gives the same plan for every policy.
 *
 * Jobs are drawn until their total work matches the configured utilisation, then
 * given random arrival times. This is a Poisson process conditioned on the
 * offered work, which reduces the variance between seeds.
 */
export function createPlan(
  settings: LoadSettings,
  drawRandom: DrawRandom,
): PlannedJob[] {
  const drafts = drawJobs(settings, drawRandom);
  const times = drafts
    .map(() => drawArrivalTime(settings, drawRandom))
    .sort((a, b) => a - b);
  return drafts.map((draft, number) => {
    const atMs = times[number];
    const isCounted = atMs >= settings.warmUpMs;
    return {...draft, number, atMs, isCounted};
  });
}

type JobDraft = Pick<PlannedJob, 'team' | 'value' | 'tasks'>;

function drawJobs(settings: LoadSettings, drawRandom: DrawRandom): JobDraft[] {
  let remainingMs = computeOfferedWork(settings);
  const drafts: JobDraft[] = [];
  while (remainingMs > 0) {
    const draft = drawJob(settings, drawRandom);
    drafts.push(draft);
    remainingMs -= draft.tasks.reduce((sum, task) => sum + task.runMs, 0);
  }
  return drafts;
}

function drawJob(settings: LoadSettings, drawRandom: DrawRandom): JobDraft {
  const {load} = settings;
  const team = drawWeighted<TeamSettings>(load.teams, drawRandom);
  const size = drawRange(load.jobSizes, drawRandom);
  const tasks = Array.from({length: size}, () => {
    const runMs = drawRange(load.runTimesMs, drawRandom);
    const error = Math.pow(load.declaredErrorFactor, 2 * drawRandom() - 1);
    return {runMs, declaredMs: Math.max(1, Math.round(runMs * error))};
  });
  return {team: team.name, value: team.value, tasks};
}

function computeOfferedWork(settings: LoadSettings): number {
  const share = settings.load.utilisationPercent / PERCENT;
  const weightMs = listRateIntervals(settings).reduce(
    (sum, each) => sum + each.lengthMs * each.factor,
    0,
  );
  return computeCapacity(settings.fleet) * share * weightMs;
}

function drawArrivalTime(
  settings: LoadSettings,
  drawRandom: DrawRandom,
): number {
  const intervals = listRateIntervals(settings);
  const total = intervals.reduce(
    (sum, each) => sum + each.lengthMs * each.factor,
    0,
  );
  let remaining = drawRandom() * total;
  for (const {fromMs, lengthMs, factor} of intervals) {
    if (remaining < lengthMs * factor) return fromMs + remaining / factor;
    remaining -= lengthMs * factor;
  }
  return settings.warmUpMs + settings.durationMs;
}

interface RateInterval {
  readonly fromMs: number;
  readonly lengthMs: number;
  /** Arrival rate relative to the base rate. */
  readonly factor: number;
}

function listRateIntervals(settings: LoadSettings): RateInterval[] {
  const endMs = settings.warmUpMs + settings.durationMs;
  const {phases} = settings.load;
  const boundaries = phases.flatMap(phase => [phase.atMs, phase.untilMs]);
  const bounds = [0, ...boundaries.filter(atMs => atMs < endMs), endMs].sort(
    (a, b) => a - b,
  );
  return bounds.slice(1).map((toMs, index) => {
    const fromMs = bounds[index];
    const phase = phases.find(
      each => each.atMs <= fromMs && fromMs < each.untilMs,
    );
    const factor = (phase?.factorPercent ?? PERCENT) / PERCENT;
    return {fromMs, lengthMs: toMs - fromMs, factor};
  });
}

function drawRange(
  ranges: readonly WeightedRange[],
  drawRandom: DrawRandom,
): number {
  const {from, to} = drawWeighted(ranges, drawRandom);
  return from + Math.floor(drawRandom() * (to - from + 1));
}

function drawWeighted<T extends {readonly share: number}>(
  items: readonly T[],
  drawRandom: DrawRandom,
): T {
  let remaining =
    drawRandom() * items.reduce((sum, each) => sum + each.share, 0);
  for (const each of items) {
    remaining -= each.share;
    if (remaining < 0) return each;
  }
  return items[items.length - 1];
}
