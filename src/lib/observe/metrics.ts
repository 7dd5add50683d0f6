/** Metrics in the StatsD protocol, sent with `hot-shots`. */
import type {StatsD} from 'hot-shots';
import {repeatTimer, startTimer} from '../core/clock.js';
import type {StartTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import {MetricBuffer} from './metric_buffer.js';
import type {MetricsSettings} from '../settings/settings_schema.js';

/** Names of counters. */
export enum Counter {
  JOB_ENDED = 'job.ended',
  TASK_ENDED = 'task.ended',
  STORE_CALL_FAILED = 'store.call.failed',
  RECORD_REJECTED = 'record.rejected',
}

/** Names of histograms; their values are milliseconds. */
export enum Histogram {
  JOB_DURATION = 'job.duration',
  TASK_WAIT = 'task.wait',
  TASK_RUN = 'task.run',
}

/** Names of gauges. */
export enum Gauge {
  TASKS_WAITING = 'tasks.waiting',
  JOBS = 'jobs',
  AGENTS = 'agents',
  CONFIGURATION_REVISION = 'configuration.revision',
  LOOP_DELAY_P50 = 'loop.delay.p50',
  LOOP_DELAY_P99 = 'loop.delay.p99',
  LOOP_DELAY_MAX = 'loop.delay.max',
  RESIDENT_BYTES = 'memory.resident',
}

/** Tags of a metric. Their values must come from small fixed sets. */
export interface MetricTags {
  readonly team?: string;
  /** Class of the tasks. */
  readonly class?: string;
  readonly outcome?: string;
  readonly problem?: string;
  readonly reason?: string;
  readonly operation?: string;
}

/** Counts an event. */
export type CountEvent = (
  name: Counter,
  tags?: MetricTags,
  count?: number,
) => void;

/** Records a duration in a histogram. */
export type RecordDuration = (
  name: Histogram,
  durationMs: number,
  tags?: MetricTags,
) => void;

/** Reports the current value of a gauge. */
export type ReportGauge = (
  name: Gauge,
  value: number,
  tags?: MetricTags,
) => void;

/** Functions to report metrics. */
export interface Metrics {
  readonly countEvent: CountEvent;
  readonly recordDuration: RecordDuration;
  readonly reportGauge: ReportGauge;
  /** Sends buffered metrics and closes the socket. */
  readonly close: () => Promise<void>;
}

/** Options of `createMetrics`. */
export interface MetricsOptions {
  /** If undefined, nothing is sent and the library is not loaded. */
  readonly settings: MetricsSettings | undefined;
  /** Prefix of each name, for example `foxtailbay.entry.`. */
  readonly prefix: string;
  readonly identity: ProcessIdentity;
  /** Starts the report timer; uses the event loop by default. */
  readonly startTimer?: StartTimer;
  /** Called if a packet could not be sent. */
  readonly reportFailure: (failure: Error) => void;
}

/** Maximum payload of a UDP packet that is not fragmented on Ethernet. */
const MAX_PACKET_BYTES = 1432;
const FLUSH_PERIOD_MS = 1000;

/**
 * One in this many values of a histogram is sent. Task durations are sampled
 * because tasks are numerous; counters report their exact number.
 */
const SAMPLE_PERIODS: Readonly<Record<Histogram, number>> = {
  [Histogram.JOB_DURATION]: 1,
  [Histogram.TASK_WAIT]: 10,
  [Histogram.TASK_RUN]: 10,
};

const NO_TAGS: MetricTags = {};

/** Metrics that are discarded. */
export const NO_OP_METRICS: Metrics = {
  countEvent: () => {},
  recordDuration: () => {},
  reportGauge: () => {},
  close: async () => {},
};

/** Creates the metrics of a process, or no-op metrics if `settings` is undefined. */
export async function createMetrics(options: MetricsOptions): Promise<Metrics> {
  const {settings, identity} = options;
  if (settings === undefined) return NO_OP_METRICS;
  const {StatsD} = await import('hot-shots');
  const client = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: options.prefix,
    globalTags: {process: identity.id, data_centre: identity.dataCentre},
    includeDataDogTags: false,
    maxBufferSize: MAX_PACKET_BYTES,
    bufferFlushInterval: FLUSH_PERIOD_MS,
    errorHandler: options.reportFailure,
  });
  return createBufferedMetrics(client, options.startTimer ?? startTimer);
}

function createBufferedMetrics(client: StatsD, start: StartTimer): Metrics {
  const buffer = MetricBuffer.create();
  const flush = () =>
    buffer.flush(({name, tags, count}) =>
      client.increment(name, count, {...tags}),
    );
  const stopTimer = repeatTimer(start, FLUSH_PERIOD_MS, flush);
  return {
    countEvent: (name, tags = NO_TAGS, count = 1) =>
      buffer.add(name, tags, count),
    recordDuration: (name, durationMs, tags) => {
      if (!buffer.admit(name, SAMPLE_PERIODS[name])) return;
      client.histogram(name, durationMs, {...tags});
    },
    reportGauge: (name, value, tags) => client.gauge(name, value, {...tags}),
    close: () => {
      stopTimer();
      flush();
      return closeClient(callback => client.close(callback));
    },
  };
}

function closeClient(
  close: (callback: (failure?: Error) => void) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
    close(failure => (failure ? reject(failure) : resolve()));
  });
}
