/** Counters and histograms of the fleet's processes, served as text. */
import type {HttpListener} from '../core/http_listener.js';
import {openHttpListener} from '../core/http_listener.js';

/** What a job's end is counted by. */
export interface JobEndLabels {
  readonly queue: string;
  readonly state: string;
  readonly reason: string;
}

/** The functions by which a process counts. Durations are milliseconds. */
export interface FleetMetrics {
  readonly countJob: (labels: JobEndLabels, tookMs: number) => void;
  readonly countRefusal: (queue: string, reason: string) => void;
  readonly countRun: (end: string, tookMs: number) => void;
}

/** Counts nothing: for tests, and until the library is loaded. */
export const NO_OP_FLEET_METRICS: FleetMetrics = {
  countJob: () => undefined,
  countRefusal: () => undefined,
  countRun: () => undefined,
};

/** Metrics that can be served. */
export interface ServedMetrics extends FleetMetrics {
  readonly print: () => Promise<string>;
}

/** Upper bounds in milliseconds: objectives reach from 100 ms to some seconds. */
const BUCKETS_MS = [
  25, 50, 100, 150, 200, 300, 450, 700, 1000, 1500, 2000, 3000, 5000,
];

/** Creates the metrics; the library is loaded by this call. */
export async function createFleetMetrics(): Promise<ServedMetrics> {
  const {Counter, Histogram, Registry} = await import('prom-client');
  const registry = new Registry();
  const registers = [registry];
  const jobs = new Counter({
    name: 'foxtailbay_jobs_total',
    help: 'Jobs that ended.',
    labelNames: ['queue', 'state', 'reason'],
    registers,
  });
  const refusals = new Counter({
    name: 'foxtailbay_refusals_total',
    help: 'Jobs refused before anything of them ran.',
    labelNames: ['queue', 'reason'],
    registers,
  });
  const durations = new Histogram({
    name: 'foxtailbay_job_duration_milliseconds',
    help: 'Time from a request to its answer.',
    labelNames: ['queue'],
    buckets: BUCKETS_MS,
    registers,
  });
  const runs = new Histogram({
    name: 'foxtailbay_run_duration_milliseconds',
    help: 'Time from the order of a run to its end.',
    labelNames: ['end'],
    buckets: BUCKETS_MS,
    registers,
  });
  return {
    countJob: ({queue, state, reason}, tookMs) => {
      jobs.inc({queue, state, reason});
      durations.observe({queue}, tookMs);
    },
    countRefusal: (queue, reason) => refusals.inc({queue, reason}),
    countRun: (end, tookMs) => runs.observe({end}, tookMs),
    print: () => registry.metrics(),
  };
}

/**
 * Counts at once and hands the counts on when the library is loaded: a process
 * that starts anew serves before that.
 */
export function createDeferredMetrics(
  loaded: Promise<FleetMetrics>,
): FleetMetrics {
  let metrics: FleetMetrics | undefined;
  const waiting: Array<(ready: FleetMetrics) => void> = [];
  const hand = (count: (ready: FleetMetrics) => void) => {
    if (metrics === undefined) waiting.push(count);
    else count(metrics);
  };
  void loaded.then(ready => {
    metrics = ready;
    for (const count of waiting.splice(0)) count(ready);
  });
  return {
    countJob: (labels, tookMs) => hand(ready => ready.countJob(labels, tookMs)),
    countRefusal: (queue, reason) =>
      hand(ready => ready.countRefusal(queue, reason)),
    countRun: (end, tookMs) => hand(ready => ready.countRun(end, tookMs)),
  };
}

const REQUEST_TIMEOUT_MS = 6000;

/** Serves the metrics on every path of an address. */
export function openMetricsListener(
  host: string,
  port: number,
  metrics: ServedMetrics,
): Promise<HttpListener> {
  return openHttpListener({
    host,
    port,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    handle: (request, response) => {
      request.resume();
      void metrics.print().then(text => {
        response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
        response.end(text);
      });
    },
  });
}
