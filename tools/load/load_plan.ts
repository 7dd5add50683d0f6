/** Plans a load: every job, its time and its tasks, from a seed. */
import type {DrawRandom} from '../../src/lib/core/clock.js';
import type {
  FleetSettings,
  LoadSettings,
  SharedRange,
  TeamSketch,
} from './load_settings.js';

/** One task of a planned job. */
export interface PlannedTask {
  /** Run time on a target of usual speed. */
  readonly runMs: number;
  readonly declaredMs: number;
}

/** One job of a plan. */
export interface PlannedJob {
  readonly number: number;
  /** Intended start since the start of the load. */
  readonly atMs: number;
  readonly team: string;
  readonly value: number;
  readonly tasks: readonly PlannedTask[];
  /** False during the warm-up. */
  readonly isCounted: boolean;
}

const PERCENT = 100;

/** Returns the work in milliseconds that the targets do each millisecond. */
export function computeCapacity(fleet: FleetSettings): number {
  let capacity = 0;
  for (let target = 0; target < fleet.targets; target += 1) {
    capacity += fleet.slots / getSlowness(fleet, target);
  }
  return capacity;
}

/** Returns the run time of a target's tasks over the usual. */
export function getSlowness(fleet: FleetSettings, target: number): number {
  const list = fleet.slownessPercent;
  return list[target % list.length] / PERCENT;
}

/** Draws a plan; the same seed gives the same plan for every policy. */
export function createPlan(
  settings: LoadSettings,
  drawRandom: DrawRandom,
): PlannedJob[] {
  const jobs: PlannedJob[] = [];
  const endMs = settings.warmUpMs + settings.durationMs;
  const meanGapMs = computeMeanGapMs(settings);
  let atMs = 0;
  for (;;) {
    const factor = getFactor(settings, atMs);
    atMs += (-Math.log(1 - drawRandom()) * meanGapMs) / factor;
    if (atMs >= endMs) return jobs;
    jobs.push(drawJob(settings, jobs.length, atMs, drawRandom));
  }
}

function drawJob(
  settings: LoadSettings,
  number: number,
  atMs: number,
  drawRandom: DrawRandom,
): PlannedJob {
  const {load} = settings;
  const team = drawShared<TeamSketch>(load.teams, drawRandom);
  const size = drawRange(load.jobSizes, drawRandom);
  const tasks = Array.from({length: size}, () => {
    const runMs = drawRange(load.runTimesMs, drawRandom);
    const error = Math.pow(load.declaredErrorFactor, 2 * drawRandom() - 1);
    return {runMs, declaredMs: Math.max(1, Math.round(runMs * error))};
  });
  const isCounted = atMs >= settings.warmUpMs;
  return {number, atMs, team: team.name, value: team.value, tasks, isCounted};
}

function computeMeanGapMs(settings: LoadSettings): number {
  const {load, fleet} = settings;
  const work = computeMean(load.jobSizes) * computeMean(load.runTimesMs);
  const share = load.utilisationPercent / PERCENT;
  return work / (computeCapacity(fleet) * share);
}

function getFactor(settings: LoadSettings, atMs: number): number {
  const phase = settings.load.phases.find(
    each => each.atMs <= atMs && atMs < each.untilMs,
  );
  return (phase?.factorPercent ?? PERCENT) / PERCENT;
}

function computeMean(ranges: readonly SharedRange[]): number {
  return ranges.reduce(
    (sum, each) =>
      sum + ((each.sharePercent / PERCENT) * (each.from + each.to)) / 2,
    0,
  );
}

function drawRange(
  ranges: readonly SharedRange[],
  drawRandom: DrawRandom,
): number {
  const {from, to} = drawShared(ranges, drawRandom);
  return from + Math.floor(drawRandom() * (to - from + 1));
}

function drawShared<T extends {readonly sharePercent: number}>(
  list: readonly T[],
  drawRandom: DrawRandom,
): T {
  let left = drawRandom() * PERCENT;
  for (const each of list) {
    left -= each.sharePercent;
    if (left < 0) return each;
  }
  return list[list.length - 1];
}
