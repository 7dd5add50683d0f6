/** Metrics gathered between two reports, so that a busy path costs little. */
import type {Counter, Histogram, MetricTags} from './metrics.js';

/** One counter with its tags, and what was counted. */
export interface CounterSeries {
  readonly name: Counter;
  readonly tags: MetricTags;
  count: number;
}

/** Sends what a series has counted. */
export type SendCount = (series: CounterSeries) => void;

/**
 * Sums counts by name and tags, and thins out values of busy histograms.
 *
 * A call of the StatsD client formats a line and costs microseconds; adding
 * here costs a look-up.
 */
export class MetricBuffer {
  private series = new Map<string, CounterSeries>();
  private readonly passed = new Map<Histogram, number>();

  private constructor() {}

  /** Creates an empty buffer. */
  static create(): MetricBuffer {
    return new MetricBuffer();
  }

  /** Adds to a counter. */
  add(name: Counter, tags: MetricTags, count: number): void {
    const key = composeSeriesKey(name, tags);
    const known = this.series.get(key);
    if (known === undefined) {
      this.series.set(key, {name, tags, count});
    } else {
      known.count += count;
    }
  }

  /** Tells whether a value is one of the one in `period` that are sent. */
  admit(name: Histogram, period: number): boolean {
    if (period === 1) return true;
    const passed = (this.passed.get(name) ?? 0) + 1;
    this.passed.set(name, passed % period);
    return passed === period;
  }

  /** Hands over what was counted since the last call. */
  flush(send: SendCount): void {
    const series = this.series;
    this.series = new Map();
    for (const one of series.values()) send(one);
  }
}

function composeSeriesKey(name: Counter, tags: MetricTags): string {
  return `${name}|${tags.team}|${tags.class}|${tags.outcome}|${tags.problem}|${tags.reason}|${tags.operation}`;
}
