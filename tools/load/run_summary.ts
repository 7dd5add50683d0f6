/** Computes the measures of a run from its record. */
import {build} from 'hdr-histogram-js';
import {Outcome} from '../../src/lib/core/job.js';
import {computeIdealMs, listActiveRuns} from './ideal_time.js';
import type {IdealTarget} from './ideal_time.js';
import {computeCapacity, getSlowness} from './load_plan.js';
import type {PlannedJob} from './load_plan.js';
import {LoadEventKind} from './load_settings.js';
import type {LoadSettings} from './load_settings.js';
import type {RunRecord, RunVariant} from './run_load.js';
import {measureWindows} from './work_windows.js';
import type {WorkWindow} from './work_windows.js';

/** Percentiles of a set of values. */
export interface Percentiles {
  readonly count: number;
  readonly median: number;
  readonly p90: number;
  readonly p99: number;
  readonly largest: number;
}

/** Measures of one run, as written to the result. */
export interface RunSummary {
  readonly variant: RunVariant;
  readonly jobs: number;
  readonly tasks: number;
  /** Number of measured jobs by outcome, or by outcome and problem code. */
  readonly ends: Readonly<Record<string, number>>;
  readonly wrongAnswers: number;
  /** Number of starts of a task beyond its first. */
  readonly duplicateStarts: number;
  /** Response time over ideal time, for jobs answered in full. */
  readonly ratio: Percentiles;
  readonly responseMs: Percentiles;
  /** Response time of jobs that did not run. */
  readonly refusalMs: Percentiles;
  /** Work of jobs completed during measurement, over the capacity. */
  readonly goodputShare: number;
  /** Value of complete jobs per second. */
  readonly valuePerSecond: number;
  /** Messages per task that led to no start; absent if not counted. */
  readonly wastedPerTask?: number;
  readonly storeCallsPerSecond: number;
  readonly entryProcessorMsPerTask: number;
  readonly agentProcessorMsPerTask: number;
  readonly entryResidentMebibytes: number;
  readonly agentResidentMebibytes: number;
  readonly toolLoopDelayMs: number;
  readonly windows: readonly WorkWindow[];
  /** Distribution of `ratio` as points: percentile, ratio. */
  readonly ratioCurve: ReadonlyArray<readonly [number, number]>;
  /** Response over ideal time by second of the load: second, median, largest. */
  readonly ratioBySecond: ReadonlyArray<readonly [number, number, number]>;
}

const BYTES_PER_MEBIBYTE = 1_048_576;

/** Histogram units per 1; thousandths keep three digits of a ratio near 1. */
const HISTOGRAM_SCALE = 1000;

const MAX_HISTOGRAM_VALUE = 1_000_000_000;

/** Computes the summary of a run from its record. */
export function measureRun(
  settings: LoadSettings,
  record: RunRecord,
): RunSummary {
  const counted = record.plan.filter(job => job.isCounted);
  const outcomes = new Map(record.outcomes.map(each => [each.number, each]));
  const ends: Record<string, number> = {};
  for (const job of counted) {
    const name = nameOutcome(outcomes.get(job.number));
    ends[name] = (ends[name] ?? 0) + 1;
  }
  const complete = counted.filter(
    job => outcomes.get(job.number)?.outcome === Outcome.COMPLETE,
  );
  const ratios = computeRatios(settings, record, complete);
  const refused = counted
    .map(job => outcomes.get(job.number))
    .filter(each => each?.outcome === Outcome.DID_NOT_RUN);
  const tasks = record.runs.length;
  const {durationMs} = settings;
  const completedInTime = listAnsweredInTime(settings, record);
  const value = completedInTime.reduce((sum, job) => sum + job.value, 0);
  const loadMs = settings.warmUpMs + durationMs;
  return {
    variant: record.variant,
    jobs: counted.length,
    tasks,
    ends,
    wrongAnswers: record.outcomes.filter(each => each.isWrong).length,
    duplicateStarts: countDuplicateStarts(record),
    ratio: computePercentiles(ratios.map(([, ratio]) => ratio)),
    responseMs: computePercentiles(
      complete.map(job => outcomes.get(job.number)!.responseMs),
    ),
    refusalMs: computePercentiles(refused.map(each => each!.responseMs)),
    goodputShare:
      sumWork(completedInTime) / (computeCapacity(settings.fleet) * durationMs),
    valuePerSecond: (value * 1000) / durationMs,
    ...computeWaste(record, tasks),
    storeCallsPerSecond: (record.storeCalls * 1000) / loadMs,
    entryProcessorMsPerTask: record.usage.entryProcessorMs / tasks,
    agentProcessorMsPerTask: record.usage.agentProcessorMs / tasks,
    entryResidentMebibytes:
      record.usage.entryResidentBytes /
      BYTES_PER_MEBIBYTE /
      settings.fleet.entries,
    agentResidentMebibytes:
      record.usage.agentResidentBytes /
      BYTES_PER_MEBIBYTE /
      settings.fleet.targets,
    toolLoopDelayMs: record.loopDelayMs,
    windows: measureWindows(settings, record, listIdealTargets(settings)),
    ratioCurve: computeRatioCurve(ratios.map(([, ratio]) => ratio)),
    ratioBySecond: collectBySecond(ratios),
  };
}

/** Lists the jobs that were answered in full during the measured time. */
function listAnsweredInTime(
  settings: LoadSettings,
  record: RunRecord,
): PlannedJob[] {
  const fromMs = settings.warmUpMs;
  const toMs = fromMs + settings.durationMs;
  return record.outcomes
    .filter(
      each =>
        each.outcome === Outcome.COMPLETE &&
        each.answeredAtMs >= fromMs &&
        each.answeredAtMs < toMs,
    )
    .map(each => record.plan[each.number]);
}

/** Lists the targets of a load with the times at which they are in service. */
export function listIdealTargets(settings: LoadSettings): IdealTarget[] {
  const {fleet, network, events} = settings;
  return Array.from({length: fleet.targets}, (_, number) => {
    const dataCentre = fleet.dataCentres[number % fleet.dataCentres.length];
    const changes = events.flatMap(({atMs, kind, subject}) => {
      const isOwn = subject === dataCentre || subject === `${number}`;
      const isInService = SERVICE_CHANGES.get(kind);
      return isOwn && isInService !== undefined ? [{atMs, isInService}] : [];
    });
    return {
      slots: fleet.slots,
      slowness: getSlowness(fleet, number),
      networkMs: 2 * network.agentOneWayMs,
      isInService: (atMs: number) =>
        changes.filter(each => each.atMs <= atMs).pop()?.isInService ?? true,
    };
  });
}

const SERVICE_CHANGES: ReadonlyMap<LoadEventKind, boolean> = new Map([
  [LoadEventKind.DATA_CENTRE_OUT, false],
  [LoadEventKind.DATA_CENTRE_IN, true],
  [LoadEventKind.TARGET_FAILS, false],
  [LoadEventKind.TARGET_HANGS, false],
  [LoadEventKind.TARGET_RECOVERS, true],
  [LoadEventKind.KILL_TARGET, false],
  [LoadEventKind.START_TARGET, true],
]);

/** Computes the percentiles of a set of values; all are 0 if there are none. */
export function computePercentiles(values: readonly number[]): Percentiles {
  const histogram = buildHistogram(values);
  const read = (percentile: number) =>
    values.length === 0
      ? 0
      : histogram.getValueAtPercentile(percentile) / HISTOGRAM_SCALE;
  return {
    count: values.length,
    median: read(50),
    p90: read(90),
    p99: read(99),
    largest: read(100),
  };
}

function computeRatios(
  settings: LoadSettings,
  record: RunRecord,
  jobs: readonly PlannedJob[],
): Array<[atMs: number, ratio: number]> {
  const targets = listIdealTargets(settings);
  const callerMs = 2 * settings.network.callerOneWayMs;
  const longestMs = record.runs.reduce(
    (most, run) => Math.max(most, Math.min(run.endMs, 1e9) - run.startMs),
    0,
  );
  const outcomes = new Map(record.outcomes.map(each => [each.number, each]));
  return jobs.map(job => {
    const busy = listActiveRuns(record.runs, job.atMs, longestMs).filter(
      run => run.job !== job.number,
    );
    const runTimes = job.tasks.map(task => task.runMs);
    const idealMs = computeIdealMs(runTimes, job.atMs, targets, busy);
    const {responseMs} = outcomes.get(job.number)!;
    return [job.atMs, (responseMs + callerMs) / (idealMs + callerMs)];
  });
}

function computeWaste(record: RunRecord, tasks: number) {
  const {ordersReturned, withdrawals} = record.counters;
  if (ordersReturned === undefined) return {};
  // A returned order costs two messages, one in each direction.
  return {wastedPerTask: (2 * ordersReturned + (withdrawals ?? 0)) / tasks};
}

function countDuplicateStarts(record: RunRecord): number {
  const names = record.runs.map(run => `${run.job}/${run.task}`);
  return names.length - new Set(names).size;
}

function nameOutcome(
  outcome: {outcome?: Outcome; code: string} | undefined,
): string {
  if (outcome === undefined) return 'no-answer';
  return outcome.outcome === Outcome.COMPLETE
    ? Outcome.COMPLETE
    : `${outcome.outcome ?? 'none'}:${outcome.code}`;
}

function sumWork(jobs: readonly PlannedJob[]): number {
  return jobs
    .flatMap(job => job.tasks)
    .reduce((sum, task) => sum + task.runMs, 0);
}

function buildHistogram(values: readonly number[]) {
  const histogram = build({
    highestTrackableValue: MAX_HISTOGRAM_VALUE,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of values) {
    const scaled = Math.round(value * HISTOGRAM_SCALE);
    histogram.recordValue(Math.min(MAX_HISTOGRAM_VALUE, Math.max(0, scaled)));
  }
  return histogram;
}

function computeRatioCurve(
  ratios: readonly number[],
): Array<readonly [number, number]> {
  const sorted = [...ratios].sort((a, b) => a - b);
  return Array.from({length: 101}, (_, percentile) => {
    const index = Math.round((percentile / 100) * (sorted.length - 1));
    return [percentile, sorted[Math.max(0, index)] ?? 0] as const;
  });
}

function collectBySecond(ratios: ReadonlyArray<readonly [number, number]>) {
  const groups = new Map<number, number[]>();
  for (const [atMs, ratio] of ratios) {
    const second = Math.floor(atMs / 1000);
    groups.set(second, [...(groups.get(second) ?? []), ratio]);
  }
  return [...groups].map(([second, group]) => {
    const sorted = group.sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)];
    return [second, median, sorted[sorted.length - 1]] as const;
  });
}
