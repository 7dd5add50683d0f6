/** Call counts and rate limits of the store stand-in. */
import {StoreCallKind, isWriteCall} from './store_call.js';

/** Calls that the service accepts per second. */
export interface RateLimits {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** Rates that the platform currently guarantees. */
export const DEFAULT_RATE_LIMITS: RateLimits = {
  writesPerSecond: 500,
  readsPerSecond: 2000,
};

/** Call counts since the start of the store. */
export interface CallCounts {
  readonly total: number;
  readonly byKind: Readonly<Record<StoreCallKind, number>>;
  /** Calls refused by the rate limit; also counted in `total`. */
  readonly rateLimited: number;
  readonly writes: number;
  readonly reads: number;
  /** Largest number of calls within one second. */
  readonly writesPerSecondMaximum: number;
  readonly readsPerSecondMaximum: number;
}

const SECOND_MS = 1000;

/** Counts calls by kind and by clock second. */
export class CallCounter {
  private readonly byKind = createZeroCounts();
  private rateLimited = 0;
  private writes = 0;
  private reads = 0;
  private second = Number.NEGATIVE_INFINITY;
  private writesThisSecond = 0;
  private readsThisSecond = 0;
  private writesPerSecondMaximum = 0;
  private readsPerSecondMaximum = 0;

  private constructor(private readonly limits: RateLimits) {}

  /** Creates a counter with all counts at zero. */
  static create(limits: RateLimits): CallCounter {
    return new CallCounter(limits);
  }

  /**
   * Counts a call; returns false if it exceeds the limit of the current second.
   */
  count(kind: StoreCallKind, nowMs: number): boolean {
    this.byKind[kind] += 1;
    this.enterSecond(Math.floor(nowMs / SECOND_MS));
    const isAllowed = isWriteCall(kind) ? this.countWrite() : this.countRead();
    if (!isAllowed) this.rateLimited += 1;
    return isAllowed;
  }

  /** Returns a copy of the counts. */
  getCounts(): CallCounts {
    return {
      total: this.writes + this.reads,
      byKind: {...this.byKind},
      rateLimited: this.rateLimited,
      writes: this.writes,
      reads: this.reads,
      writesPerSecondMaximum: this.writesPerSecondMaximum,
      readsPerSecondMaximum: this.readsPerSecondMaximum,
    };
  }

  private enterSecond(second: number): void {
    if (second === this.second) return;
    this.second = second;
    this.writesThisSecond = 0;
    this.readsThisSecond = 0;
  }

  private countWrite(): boolean {
    this.writes += 1;
    this.writesThisSecond += 1;
    this.writesPerSecondMaximum = Math.max(
      this.writesPerSecondMaximum,
      this.writesThisSecond,
    );
    return this.writesThisSecond <= this.limits.writesPerSecond;
  }

  private countRead(): boolean {
    this.reads += 1;
    this.readsThisSecond += 1;
    this.readsPerSecondMaximum = Math.max(
      this.readsPerSecondMaximum,
      this.readsThisSecond,
    );
    return this.readsThisSecond <= this.limits.readsPerSecond;
  }
}

function createZeroCounts(): Record<StoreCallKind, number> {
  const kinds = Object.values(StoreCallKind);
  return Object.fromEntries(kinds.map(kind => [kind, 0])) as Record<
    StoreCallKind,
    number
  >;
}
