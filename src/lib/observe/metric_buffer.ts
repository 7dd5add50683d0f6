/** Aggregation of metrics between reports, to keep frequent updates cheap. */
import type {Counter, Histogram, MetricTags} from './metrics.js';

/** The sum of one counter for one combination of tags. */
export interface CounterSeries {
  readonly name: Counter;
  readonly tags: MetricTags;
  count: number;
}

/** Sends the sum of a series. */
export type SendCount = (series: CounterSeries) => void;

/**
 * Sums counts by name and tags, and samples the values of frequent histograms.
 *
 * A call of the StatsD client formats a line and takes microseconds; adding to
 * the buffer takes a map look-up.
 */
export class MetricBuffer {
  private series = new Map<string, CounterSeries>();
  /** Values of each histogram since the last one that was sent. */
  private readonly valueCounts = new Map<Histogram, number>();

  private constructor() {}

  /** Creates an empty buffer. */
  static create(): MetricBuffer {
    return new MetricBuffer();
  }

  /** Adds `count` to a counter. */
  add(name: Counter, tags: MetricTags, count: number): void {
    const key = composeSeriesKey(name, tags);
    const known = this.series.get(key);
    if (known === undefined) {
      this.series.set(key, {name, tags, count});
    } else {
      known.count += count;
    }
  }

  /** Tells whether to send a value; selects one in every `period` values. */
  admit(name: Histogram, period: number): boolean {
    if (period === 1) return true;
    const count = (this.valueCounts.get(name) ?? 0) + 1;
    this.valueCounts.set(name, count % period);
    return count === period;
  }

  /** Sends the sums since the last call and clears them. */
  flush(send: SendCount): void {
    const series = this.series;
    this.series = new Map();
    for (const one of series.values()) send(one);
  }
}

function composeSeriesKey(name: Counter, tags: MetricTags): string {
  return `${name}|${tags.team}|${tags.class}|${tags.outcome}|${tags.problem}|${tags.reason}|${tags.operation}`;
}
