/** Reports the streams that were closed for a limit: counters, and a line a second. */
import type {StartTimer} from '../../core/clock.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {StreamCut} from './stream_limits.js';

/** Dependencies of a report. */
export interface CutLogOptions {
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
  readonly startTimer: StartTimer;
}

/** Time in milliseconds for which cuts are counted before a line is written. */
const LINE_PERIOD_MS = 1000;

/** Returns a function that reports a cut. */
export function createCutLog({
  log,
  metrics,
  startTimer,
}: CutLogOptions): (reason: StreamCut) => void {
  let counts = new Map<StreamCut, number>();
  const write = () => {
    const fields = {counts: Object.fromEntries(counts)};
    counts = new Map();
    log(FleetEvent.STREAMS_CUT, 'Streams exceeded a limit.', fields);
  };
  return reason => {
    metrics.countCutStream(reason);
    if (counts.size === 0) startTimer(LINE_PERIOD_MS, write);
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  };
}
