/** Counters and histograms of the fleet's processes in the Prometheus text format. */
import type {ConnectionLimiter} from '../core/connection_limiter.js';
import type {HttpListener} from '../core/http_listener.js';
import {openHttpListener} from '../core/http_listener.js';

/** Labels of the counter of ended jobs. */
export interface JobEndLabels {
  readonly queue: string;
  readonly state: string;
  readonly reason: string;
}

/** The metrics that a process records. Durations are in milliseconds. */
export interface FleetMetrics {
  readonly countJob: (labels: JobEndLabels, tookMs: number) => void;
  readonly countRefusal: (queue: string, reason: string) => void;
  readonly countRun: (end: string, tookMs: number) => void;
  readonly countRejectedHeartbeat: (reason: string) => void;
  readonly countCrashReport: (use: string) => void;
  readonly countCrashVerdict: (verdict: string) => void;
  readonly countCut: (reason: string) => void;
}

/** Metrics that record nothing, for tests. */
export const NO_OP_FLEET_METRICS: FleetMetrics = {
  countJob: () => undefined,
  countRefusal: () => undefined,
  countRun: () => undefined,
  countRejectedHeartbeat: () => undefined,
  countCrashReport: () => undefined,
  countCrashVerdict: () => undefined,
  countCut: () => undefined,
};

/** Metrics that can be printed in the Prometheus text format. */
export interface ServedMetrics extends FleetMetrics {
  readonly print: () => Promise<string>;
}

/** Upper bounds in milliseconds; latency objectives range from 100 ms to a few seconds. */
const BUCKETS_MS = [
  25, 50, 100, 150, 200, 300, 450, 700, 1000, 1500, 2000, 3000, 5000,
];

/** Creates the metrics; loads the library. */
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
  const rejectedHeartbeats = new Counter({
    name: 'foxtailbay_heartbeats_rejected_total',
    help: 'Heartbeats that an agent did not use.',
    labelNames: ['reason'],
    registers,
  });
  const crashReports = new Counter({
    name: 'foxtailbay_crash_reports_total',
    help: 'Reports of crashed targets at an entry.',
    labelNames: ['use'],
    registers,
  });
  const crashVerdicts = new Counter({
    name: 'foxtailbay_crash_verdicts_total',
    help: 'Tasks under which a target crashed, by what follows for them.',
    labelNames: ['verdict'],
    registers,
  });
  const cuts = new Counter({
    name: 'foxtailbay_requests_cut_total',
    help: 'Connections of clients that were closed for exceeding a limit.',
    labelNames: ['reason'],
    registers,
  });
  return {
    countJob: ({queue, state, reason}, tookMs) => {
      jobs.inc({queue, state, reason});
      durations.observe({queue}, tookMs);
    },
    countRefusal: (queue, reason) => refusals.inc({queue, reason}),
    countRun: (end, tookMs) => runs.observe({end}, tookMs),
    countRejectedHeartbeat: reason => rejectedHeartbeats.inc({reason}),
    countCrashReport: use => crashReports.inc({use}),
    countCrashVerdict: verdict => crashVerdicts.inc({verdict}),
    countCut: reason => cuts.inc({reason}),
    print: () => registry.metrics(),
  };
}

/**
 * Creates metrics that buffer their calls until the library is loaded, so that a
 * starting process can serve requests before that.
 */
export function createDeferredMetrics(
  loaded: Promise<FleetMetrics>,
): FleetMetrics {
  let metrics: FleetMetrics | undefined;
  const buffered: Array<(ready: FleetMetrics) => void> = [];
  const forward = (call: (ready: FleetMetrics) => void) => {
    if (metrics === undefined) buffered.push(call);
    else call(metrics);
  };
  void loaded.then(ready => {
    metrics = ready;
    for (const call of buffered.splice(0)) call(ready);
  });
  return {
    countJob: (labels, tookMs) =>
      forward(ready => ready.countJob(labels, tookMs)),
    countRefusal: (queue, reason) =>
      forward(ready => ready.countRefusal(queue, reason)),
    countRun: (end, tookMs) => forward(ready => ready.countRun(end, tookMs)),
    countRejectedHeartbeat: reason =>
      forward(ready => ready.countRejectedHeartbeat(reason)),
    countCrashReport: use => forward(ready => ready.countCrashReport(use)),
    countCrashVerdict: verdict =>
      forward(ready => ready.countCrashVerdict(verdict)),
    countCut: reason => forward(ready => ready.countCut(reason)),
  };
}

const REQUEST_TIMEOUT_MS = 6000;

/** Opens an HTTP listener that serves the metrics on every path. */
export function openMetricsListener(
  host: string,
  port: number,
  metrics: ServedMetrics,
  limits?: ConnectionLimiter,
): Promise<HttpListener> {
  return openHttpListener({
    host,
    port,
    limits,
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
