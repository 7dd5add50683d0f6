/** Passes bytes on after a delay, in order, for one direction of a connection. */
import type {
  ReadMonotonicMs,
  StartTimer,
  StopTimer,
} from '../src/lib/core/clock.js';

/** What follows the last bytes of a stream. */
export enum StreamEnd {
  /** The sender has closed its direction. */
  FINISHED = 'finished',
  /** The connection broke. */
  BROKEN = 'broken',
}

/** What passes through a line: bytes, or the end of the stream. */
export type Parcel = Buffer | StreamEnd;

/** The functions that a line calls. */
export interface DelayLineOptions {
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Hands on what has been delayed. */
  readonly deliver: (parcel: Parcel) => void;
}

/** How a line treats its bytes. */
export interface LineRule {
  readonly delayMs: number;
  readonly isHeld: boolean;
}

interface Waiting {
  readonly parcel: Parcel;
  readonly dueMs: number;
}

/** Largest error of rounding a delay to whole milliseconds. */
const ROUNDING_MS = 0.5;

/** Delays parcels without changing their order. */
export class DelayLine {
  private readonly waiting: Waiting[] = [];
  private stopTimer: StopTimer | undefined;
  private waitingBytes = 0;
  /** What rounding to whole milliseconds has left over. */
  private remainderMs = 0;

  private constructor(
    private readonly options: DelayLineOptions,
    private rule: LineRule,
  ) {}

  /** Creates an empty line. */
  static create(options: DelayLineOptions, rule: LineRule): DelayLine {
    return new DelayLine(options, rule);
  }

  /** Number of bytes that wait. */
  get backlogBytes(): number {
    return this.waitingBytes;
  }

  /** Takes a parcel. */
  push(parcel: Parcel): void {
    const lastMs = this.waiting.at(-1)?.dueMs ?? 0;
    const dueMs = this.options.readMonotonicMs() + this.rule.delayMs;
    this.waiting.push({parcel, dueMs: Math.max(dueMs, lastMs)});
    this.waitingBytes += countBytes(parcel);
    this.schedule();
  }

  /** Changes the rule; bytes that waited while held go at once. */
  setRule(rule: LineRule): void {
    this.rule = rule;
    this.stop();
    this.schedule();
  }

  /** Stops the timer; what waits is dropped with the line. */
  stop(): void {
    this.stopTimer?.();
    this.stopTimer = undefined;
  }

  private schedule(): void {
    const next = this.waiting[0];
    const isIdle = next === undefined || this.rule.isHeld;
    if (isIdle || this.stopTimer !== undefined) return;
    this.stopTimer = this.options.startTimer(this.roundDelay(next.dueMs), () =>
      this.release(),
    );
  }

  /** Rounds so that delays are right on average: timers count whole milliseconds. */
  private roundDelay(dueMs: number): number {
    const exactMs = dueMs - this.options.readMonotonicMs() + this.remainderMs;
    const wholeMs = Math.max(0, Math.round(exactMs));
    this.remainderMs = Math.min(1, Math.max(-1, exactMs - wholeMs));
    return wholeMs;
  }

  private release(): void {
    this.stopTimer = undefined;
    const nowMs = this.options.readMonotonicMs() + ROUNDING_MS;
    while (this.waiting.length > 0 && this.waiting[0].dueMs <= nowMs) {
      const {parcel} = this.waiting.shift()!;
      this.waitingBytes -= countBytes(parcel);
      this.options.deliver(parcel);
    }
    this.schedule();
  }
}

function countBytes(parcel: Parcel): number {
  return Buffer.isBuffer(parcel) ? parcel.length : 0;
}
