/** Keeps the lines of requests until it is known whether they are worth writing. */
import type {ReadMonotonicMs} from '../core/clock.js';
import {FleetEvent} from './fleet_log.js';
import type {FleetLog} from './fleet_log.js';

/** Fields of a line. */
export type LineFields = Readonly<Record<string, unknown>>;

/** What the log of requests needs. */
export interface RequestLogOptions {
  readonly log: FleetLog;
  readonly readMonotonicMs: ReadMonotonicMs;
  /** Lines a second that may be written; the rest is counted by event. */
  readonly linesPerSecond: number;
}

interface Line {
  readonly event: FleetEvent;
  readonly message: string;
  readonly fields: LineFields;
  readonly atMs: number;
}

/** One request in this many is written although it went well. */
const SAMPLE_PERIOD = 64;

/** Lines kept for one request; the first ones tell how it began. */
const LINES_PER_REQUEST = 200;

const SECOND_MS = 1000;

/**
 * Writes all lines of a request that went badly, and of a sample of the others:
 * the same ones in every process, since the sample is drawn from the job's id.
 * What is left out is counted.
 */
export class RequestLog {
  private readonly lines = new Map<string, Line[]>();
  private readonly leftOut = new Map<FleetEvent, number>();
  private secondEndsAtMs = 0;
  private linesLeft = 0;

  private constructor(private readonly options: RequestLogOptions) {}

  /** Creates a log that holds nothing. */
  static create(options: RequestLogOptions): RequestLog {
    return new RequestLog(options);
  }

  /** Keeps a line of a request, or of a part of it, until it ends. */
  add(
    key: string,
    event: FleetEvent,
    message: string,
    fields: LineFields,
  ): void {
    const kept = this.lines.get(key) ?? [];
    if (kept.length === 0) this.lines.set(key, kept);
    if (kept.length >= LINES_PER_REQUEST) {
      this.count(event);
      return;
    }
    kept.push({event, message, fields, atMs: this.options.readMonotonicMs()});
  }

  /** Writes what was kept if it is worth it, and forgets it. */
  finish(key: string, job: string, isNotable: boolean): void {
    const kept = this.lines.get(key);
    if (kept === undefined) return;
    this.lines.delete(key);
    const isWritten = isNotable || isSampled(job);
    const nowMs = this.options.readMonotonicMs();
    for (const line of kept) {
      if (isWritten && this.takeLine(nowMs)) {
        // The line's own time stands in the past by this much.
        const agoMs = Math.round(nowMs - line.atMs);
        this.options.log(line.event, line.message, {...line.fields, agoMs});
      } else {
        this.count(line.event);
      }
    }
  }

  private takeLine(nowMs: number): boolean {
    if (nowMs >= this.secondEndsAtMs) {
      this.secondEndsAtMs = nowMs + SECOND_MS;
      this.linesLeft = this.options.linesPerSecond;
      this.reportLeftOut();
    }
    this.linesLeft -= 1;
    return this.linesLeft >= 0;
  }

  private count(event: FleetEvent): void {
    this.leftOut.set(event, (this.leftOut.get(event) ?? 0) + 1);
  }

  private reportLeftOut(): void {
    if (this.leftOut.size === 0) return;
    const counts = Object.fromEntries(this.leftOut);
    this.leftOut.clear();
    this.options.log(FleetEvent.LINES_DROPPED, 'Lines were left out.', {
      counts,
    });
  }
}

/** Tells whether a job's lines are written although it went well. */
export function isSampled(job: string): boolean {
  return Number.parseInt(job.slice(-4), 16) % SAMPLE_PERIOD === 0;
}
