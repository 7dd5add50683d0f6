/** Tail-based sampling of log lines: a request's lines are buffered until it ends. */
import type {ReadMonotonicMs} from '../core/clock.js';
import {FleetEvent} from './fleet_log.js';
import type {FleetLog} from './fleet_log.js';

/** Fields of a log line. */
export type LineFields = Readonly<Record<string, unknown>>;

/** Options of `RequestLog.create`. */
export interface RequestLogOptions {
  readonly log: FleetLog;
  readonly readMonotonicMs: ReadMonotonicMs;
  /** Maximum number of lines per second; dropped lines are counted by event. */
  readonly linesPerSecond: number;
}

interface Line {
  readonly event: FleetEvent;
  readonly message: string;
  readonly fields: LineFields;
  readonly atMs: number;
}

/** One in this many successful requests is logged. */
const SAMPLE_PERIOD = 64;

/** Maximum number of lines buffered per request; the first ones show how it began. */
const MAX_LINES_PER_REQUEST = 200;

const SECOND_MS = 1000;

/**
 * Writes all lines of requests with a notable outcome and of a sample of the
 * others. The sample is selected by the job's id, so that every process selects
 * the same requests. Dropped lines are counted.
 */
export class RequestLog {
  private readonly lines = new Map<string, Line[]>();
  private readonly dropped = new Map<FleetEvent, number>();
  private secondEndsAtMs = 0;
  private linesLeft = 0;

  private constructor(private readonly options: RequestLogOptions) {}

  /** Creates a log with no buffered lines. */
  static create(options: RequestLogOptions): RequestLog {
    return new RequestLog(options);
  }

  /** Buffers a line of a request, or of a part of it, until `finish`. */
  add(
    key: string,
    event: FleetEvent,
    message: string,
    fields: LineFields,
  ): void {
    const lines = this.lines.get(key) ?? [];
    if (lines.length === 0) this.lines.set(key, lines);
    if (lines.length >= MAX_LINES_PER_REQUEST) {
      this.count(event);
      return;
    }
    lines.push({event, message, fields, atMs: this.options.readMonotonicMs()});
  }

  /** Writes the buffered lines if the request is notable or sampled, else drops them. */
  finish(key: string, job: string, isNotable: boolean): void {
    const lines = this.lines.get(key);
    if (lines === undefined) return;
    this.lines.delete(key);
    const isWritten = isNotable || isSampled(job);
    const nowMs = this.options.readMonotonicMs();
    for (const line of lines) {
      if (isWritten && this.takeLine(nowMs)) {
        // The event is older than the timestamp of the line by this much.
        const agoMs = Math.round(nowMs - line.atMs);
        this.options.log(line.event, line.message, {...line.fields, agoMs});
      } else {
        this.count(line.event);
      }
    }
  }

  /**
   * Tells whether the line limit of the current second admits one more line, and
   * reports the dropped lines when a new second begins.
   */
  private takeLine(nowMs: number): boolean {
    if (nowMs >= this.secondEndsAtMs) {
      this.secondEndsAtMs = nowMs + SECOND_MS;
      this.linesLeft = this.options.linesPerSecond;
      this.reportDropped();
    }
    this.linesLeft -= 1;
    return this.linesLeft >= 0;
  }

  private count(event: FleetEvent): void {
    this.dropped.set(event, (this.dropped.get(event) ?? 0) + 1);
  }

  private reportDropped(): void {
    if (this.dropped.size === 0) return;
    const counts = Object.fromEntries(this.dropped);
    this.dropped.clear();
    this.options.log(FleetEvent.LINES_DROPPED, 'Log lines were dropped.', {
      counts,
    });
  }
}

/** Tells whether a job belongs to the sample that is always logged. */
export function isSampled(job: string): boolean {
  return Number.parseInt(job.slice(-4), 16) % SAMPLE_PERIOD === 0;
}
