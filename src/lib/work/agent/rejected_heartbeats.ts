/** Counts the heartbeats that an agent does not use, and logs some of them. */
import type {ReadMonotonicMs} from '../../core/clock.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {FleetMetrics} from '../../observe/fleet_metrics.js';
import type {LineFields} from '../../observe/request_log.js';
import type {TargetHeartbeat} from './target_api.js';

/** Minimum time in milliseconds between two lines: writers repeat their heartbeats. */
const LOG_PERIOD_MS = 1000;

/** Why a heartbeat is not used; a label of the metric. */
export enum HeartbeatRejection {
  /** A field is missing or of another type. */
  INVALID = 'invalid',
  /** The target has answered as another incarnation than the one it names. */
  DENIED = 'denied',
  /** The target has not answered as the incarnation that it names. */
  UNCONFIRMED = 'unconfirmed',
  /** It gives the target another service or data centre than it began with. */
  CONTRADICTORY = 'contradictory',
}

/** Dependencies of the counter. */
export interface RejectedHeartbeatsOptions {
  readonly log: FleetLog;
  readonly metrics: FleetMetrics;
  readonly readMonotonicMs: ReadMonotonicMs;
}

/** Writes at most one line per period, with the number of rejections since the last. */
export class RejectedHeartbeats {
  private count = 0;
  private nextLineAtMs = 0;

  private constructor(private readonly options: RejectedHeartbeatsOptions) {}

  /** Creates a counter without rejections. */
  static create(options: RejectedHeartbeatsOptions): RejectedHeartbeats {
    return new RejectedHeartbeats(options);
  }

  /** Records the rejection of a heartbeat that could be read. */
  recordHeartbeat(
    reason: HeartbeatRejection,
    {id, incarnation, service}: TargetHeartbeat,
  ): void {
    this.record(reason, {target: id, targetLife: incarnation, service});
  }

  /** Records a rejection; `fields` name the writer. */
  record(reason: HeartbeatRejection, fields: LineFields): void {
    const {log, metrics, readMonotonicMs} = this.options;
    metrics.countRejectedHeartbeat(reason);
    this.count += 1;
    const nowMs = readMonotonicMs();
    if (nowMs < this.nextLineAtMs) return;
    this.nextLineAtMs = nowMs + LOG_PERIOD_MS;
    const text = 'A heartbeat was ignored.';
    const {count} = this;
    this.count = 0;
    log(FleetEvent.HEARTBEAT_REJECTED, text, {...fields, reason, count});
  }
}
