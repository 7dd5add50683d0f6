/**
 * Delay line for one direction of a connection: forwards bytes later, in order.
 */
import type {
  ReadMonotonicMs,
  StartTimer,
  StopTimer,
} from '../src/lib/core/clock.js';

/** How a stream ends. */
export enum StreamEnd {
  /** The sender closed its side of the connection. */
  FINISHED = 'finished',
  /** The connection failed. */
  BROKEN = 'broken',
}

/** Element of a delayed stream: a chunk of bytes, or the end of the stream. */
export type StreamItem = Buffer | StreamEnd;

/** Clock, timers and output of a delay line. */
export interface DelayLineOptions {
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Forwards an item whose delay is over. */
  readonly deliver: (item: StreamItem) => void;
}

/** Delay in milliseconds, and whether the line holds items back altogether. */
export interface LineRule {
  readonly delayMs: number;
  readonly isHeld: boolean;
  /** Whether items are dropped instead of being queued. */
  readonly isLossy?: boolean;
}

interface QueuedItem {
  readonly item: StreamItem;
  readonly dueMs: number;
}

/** Weight of each delivery's timing error in the running correction. */
const ERROR_WEIGHT = 0.2;

/** Delays items without changing their order. */
export class DelayLine {
  private readonly queue: QueuedItem[] = [];
  private stopTimer: StopTimer | undefined;
  private queuedBytes = 0;
  private hasLost = false;
  /** Running estimate of how late timers fire; delays are shortened by it. */
  private errorMs = 0;

  private constructor(
    private readonly options: DelayLineOptions,
    private rule: LineRule,
  ) {}

  /** Creates a line with nothing queued. */
  static create(options: DelayLineOptions, rule: LineRule): DelayLine {
    return new DelayLine(options, rule);
  }

  /** Number of bytes in the queue. */
  get backlogBytes(): number {
    return this.queuedBytes;
  }

  /** Whether an item has been dropped, so that the stream has a gap. */
  get hasGap(): boolean {
    return this.hasLost;
  }

  /** Queues an item; delivers it at once if it is due. */
  push(item: StreamItem): void {
    if (this.rule.isLossy === true) {
      this.hasLost = true;
      return;
    }
    const lastMs = this.queue.at(-1)?.dueMs ?? 0;
    const dueMs = this.options.readMonotonicMs() + this.rule.delayMs;
    this.queue.push({item, dueMs: Math.max(dueMs, lastMs)});
    this.queuedBytes += countBytes(item);
    this.schedule();
  }

  /**
   * Changes the rule; items that became due while held are delivered at once.
   */
  setRule(rule: LineRule): void {
    this.rule = rule;
    this.stop();
    this.schedule();
  }

  /** Stops the timer; queued items are not delivered. */
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

  /**
   * Rounds to whole milliseconds, as timers do, so that the average delay is
   * exact.
   */
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
    this.updateErrorEstimate(this.options.readMonotonicMs() - dueMs);
    this.options.deliver(item);
  }

  private updateErrorEstimate(lateMs: number): void {
    // Bounded, so that a pause of the process does not count as timer error.
    const boundedMs = Math.min(1, Math.max(-1, lateMs));
    this.errorMs += ERROR_WEIGHT * boundedMs;
    this.errorMs = Math.min(1, Math.max(-1, this.errorMs));
  }
}

function countBytes(item: StreamItem): number {
  return Buffer.isBuffer(item) ? item.length : 0;
}
