/** Event-loop delay and memory use of a process, reported as gauges. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {repeatTimer, startTimer} from '../core/clock.js';
import type {StartTimer, StopTimer} from '../core/clock.js';
import {Gauge} from './metrics.js';
import type {ReportGauge} from './metrics.js';

const SAMPLE_PERIOD_MS = 10;
const REPORT_PERIOD_MS = 5000;
const NANOSECONDS_PER_MS = 1e6;

/** Event-loop delay since the last report, in milliseconds. */
export interface LoopDelay {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Measures the event-loop delay of this process. */
export interface LoopDelayMonitor {
  /** Returns the delay since the last call, or undefined if there are no samples. */
  readonly read: () => LoopDelay | undefined;
  readonly stop: () => void;
}

/** Creates a monitor that samples until it is stopped. */
export function createLoopDelayMonitor(): LoopDelayMonitor {
  const histogram = monitorEventLoopDelay({resolution: SAMPLE_PERIOD_MS});
  histogram.enable();
  const read = () => {
    if (histogram.count === 0) return undefined;
    const delay = {
      p50Ms: subtractPeriod(histogram.percentile(50)),
      p99Ms: subtractPeriod(histogram.percentile(99)),
      maxMs: subtractPeriod(histogram.max),
    };
    histogram.reset();
    return delay;
  };
  return {read, stop: () => histogram.disable()};
}

/** Options of `reportProcessHealth`. */
export interface ProcessHealthOptions {
  readonly reportGauge: ReportGauge;
  readonly startTimer: StartTimer;
  readonly monitor: LoopDelayMonitor;
  /** Reads the resident memory of the process in bytes. */
  readonly readResidentBytes: () => number;
  /** Reads the other gauges of the process. */
  readonly readGauges: ReadGauges;
}

/** Reads the current values of gauges. */
export type ReadGauges = () => Partial<Record<Gauge, number>>;

/** Reports the health of this process until the returned function is called. */
export function watchProcessHealth(
  reportGauge: ReportGauge,
  readGauges: ReadGauges = () => ({}),
): StopTimer {
  return reportProcessHealth({
    reportGauge,
    readGauges,
    startTimer,
    monitor: createLoopDelayMonitor(),
    readResidentBytes: () => process.memoryUsage.rss(),
  });
}

/** Periodically reports loop delay and memory until the returned function is called. */
export function reportProcessHealth(options: ProcessHealthOptions): StopTimer {
  const {reportGauge, monitor} = options;
  const stopTimer = repeatTimer(options.startTimer, REPORT_PERIOD_MS, () => {
    reportGauge(Gauge.RESIDENT_BYTES, options.readResidentBytes());
    for (const [name, value] of Object.entries(options.readGauges())) {
      reportGauge(name as Gauge, value);
    }
    const delay = monitor.read();
    if (delay === undefined) return;
    reportGauge(Gauge.LOOP_DELAY_P50, delay.p50Ms);
    reportGauge(Gauge.LOOP_DELAY_P99, delay.p99Ms);
    reportGauge(Gauge.LOOP_DELAY_MAX, delay.maxMs);
  });
  return () => {
    stopTimer();
    monitor.stop();
  };
}

/** Converts a sample, the time between two timer ticks, to a delay in milliseconds. */
function subtractPeriod(sampleNanoseconds: number): number {
  return Math.max(0, sampleNanoseconds / NANOSECONDS_PER_MS - SAMPLE_PERIOD_MS);
}
