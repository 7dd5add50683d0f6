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

/**
 * Draws a plan; the same seed gives the same plan for every policy.
 *
 * Jobs are drawn until they hold the work that the utilisation asks for, then
 * spread over the time by chance: arrivals are those of a Poisson process of
 * which the offered work is known, so that seeds differ less.
 */
export function createPlan(
  settings: LoadSettings,
  drawRandom: DrawRandom,
): PlannedJob[] {
  const drafts = drawJobs(settings, drawRandom);
  const times = drafts
    .map(() => drawTime(settings, drawRandom))
    .sort((a, b) => a - b);
  return drafts.map((draft, number) => {
    const atMs = times[number];
    const isCounted = atMs >= settings.warmUpMs;
    return {...draft, number, atMs, isCounted};
  });
}

type JobDraft = Pick<PlannedJob, 'team' | 'value' | 'tasks'>;

function drawJobs(settings: LoadSettings, drawRandom: DrawRandom): JobDraft[] {
  let leftMs = computeOfferedWork(settings);
  const drafts: JobDraft[] = [];
  while (leftMs > 0) {
    const draft = drawJob(settings, drawRandom);
    drafts.push(draft);
    leftMs -= draft.tasks.reduce((sum, task) => sum + task.runMs, 0);
  }
  return drafts;
}

function drawJob(settings: LoadSettings, drawRandom: DrawRandom): JobDraft {
  const {load} = settings;
  const team = drawShared<TeamSketch>(load.teams, drawRandom);
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
  const weightMs = listStretches(settings).reduce(
    (sum, each) => sum + each.lengthMs * each.factor,
    0,
  );
  return computeCapacity(settings.fleet) * share * weightMs;
}

function drawTime(settings: LoadSettings, drawRandom: DrawRandom): number {
  const stretches = listStretches(settings);
  const total = stretches.reduce(
    (sum, each) => sum + each.lengthMs * each.factor,
    0,
  );
  let left = drawRandom() * total;
  for (const {fromMs, lengthMs, factor} of stretches) {
    if (left < lengthMs * factor) return fromMs + left / factor;
    left -= lengthMs * factor;
  }
  return settings.warmUpMs + settings.durationMs;
}

interface Stretch {
  readonly fromMs: number;
  readonly lengthMs: number;
  /** Arrival rate against the usual. */
  readonly factor: number;
}

function listStretches(settings: LoadSettings): Stretch[] {
  const endMs = settings.warmUpMs + settings.durationMs;
  const {phases} = settings.load;
  const cuts = phases.flatMap(phase => [phase.atMs, phase.untilMs]);
  const bounds = [0, ...cuts.filter(cut => cut < endMs), endMs].sort(
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
  ranges: readonly SharedRange[],
  drawRandom: DrawRandom,
): number {
  const {from, to} = drawShared(ranges, drawRandom);
  return from + Math.floor(drawRandom() * (to - from + 1));
}

function drawShared<T extends {readonly share: number}>(
  list: readonly T[],
  drawRandom: DrawRandom,
): T {
  let left = drawRandom() * list.reduce((sum, each) => sum + each.share, 0);
  for (const each of list) {
    left -= each.share;
    if (left < 0) return each;
  }
  return list[list.length - 1];
}
