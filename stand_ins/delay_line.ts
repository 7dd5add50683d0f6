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
export type StreamItem = Buffer | StreamEnd;

/** The functions that a line calls. */
export interface DelayLineOptions {
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Hands on what has been delayed. */
  readonly deliver: (item: StreamItem) => void;
}

/** How a line treats its bytes. */
export interface LineRule {
  readonly delayMs: number;
  readonly isHeld: boolean;
}

interface QueuedItem {
  readonly item: StreamItem;
  readonly dueMs: number;
}

/** Share of each delivery's error that is corrected in the next. */
const ERROR_WEIGHT = 0.2;

/** Delays parcels without changing their order. */
export class DelayLine {
  private readonly queue: QueuedItem[] = [];
  private stopTimer: StopTimer | undefined;
  private queuedBytes = 0;
  /** How late deliveries tend to be; aimed at zero by starting earlier. */
  private errorMs = 0;

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
    return this.queuedBytes;
  }

  /** Takes a item. */
  push(item: StreamItem): void {
    const lastMs = this.queue.at(-1)?.dueMs ?? 0;
    const dueMs = this.options.readMonotonicMs() + this.rule.delayMs;
    this.queue.push({item, dueMs: Math.max(dueMs, lastMs)});
    this.queuedBytes += countBytes(item);
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
    while (this.hasNext()) {
      const roundedMs = this.roundDelay(this.queue[0].dueMs);
      if (roundedMs > 0) {
        this.stopTimer = this.options.startTimer(roundedMs, () =>
          this.expire(),
        );
        return;
      }
      this.deliverNext();
    }
  }

  private hasNext(): boolean {
    const isIdle = this.queue.length === 0 || this.rule.isHeld;
    return !isIdle && this.stopTimer === undefined;
  }

  /** Rounds so that delays are right on average: timers count whole milliseconds. */
  private roundDelay(dueMs: number): number {
    const exactMs = dueMs - this.options.readMonotonicMs() - this.errorMs;
    return Math.max(0, Math.round(exactMs));
  }

  private expire(): void {
    this.stopTimer = undefined;
    this.deliverNext();
    this.schedule();
  }

  private deliverNext(): void {
    const {item, dueMs} = this.queue.shift()!;
    this.queuedBytes -= countBytes(item);
    this.learnError(this.options.readMonotonicMs() - dueMs);
    this.options.deliver(item);
  }

  private learnError(lateMs: number): void {
    // A pause of the process is no error of the timers.
    const boundedMs = Math.min(1, Math.max(-1, lateMs));
    this.errorMs += ERROR_WEIGHT * boundedMs;
    this.errorMs = Math.min(1, Math.max(-1, this.errorMs));
  }
}

function countBytes(item: StreamItem): number {
  return Buffer.isBuffer(item) ? item.length : 0;
}
