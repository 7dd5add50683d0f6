/** Reports connections that were cut in the metrics, and in one log line a second. */
import type {StartTimer} from '../core/clock.js';
import type {CutReason} from '../core/connection_limiter.js';
import {FleetEvent} from './fleet_log.js';
import type {FleetLog} from './fleet_log.js';
import type {FleetMetrics} from './fleet_metrics.js';

/** Dependencies of a report. */
export interface CutReportOptions {
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
  readonly startTimer: StartTimer;
}

/** Time in milliseconds between two lines: a crowd is cut by the hundreds. */
const LINE_PERIOD_MS = 1000;

/** Creates the function that reports one cut connection. */
export function createCutReport({
  log,
  metrics,
  startTimer,
}: CutReportOptions): (reason: CutReason) => void {
  const counts = new Map<CutReason, number>();
  return reason => {
    metrics.countCut(reason);
    const isFirst = counts.size === 0;
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
    if (!isFirst) return;
    startTimer(LINE_PERIOD_MS, () => {
      log(
        FleetEvent.CLIENTS_CUT,
        'Connections of clients outside the limits were closed.',
        Object.fromEntries(counts),
      );
      counts.clear();
    });
  };
}
