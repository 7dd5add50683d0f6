/** The forecasts of an entry, by queue. */
import {
  FIRST_WORK_FORECAST,
  estimateWork,
  recordWork,
} from './work_forecast.js';
import type {
  DeclaredWork,
  ExpectedWork,
  WorkForecast,
} from './work_forecast.js';

/** What was learned, by the queue's name. */
export type QueueForecasts = ReadonlyMap<string, WorkForecast>;

/** Keeps what was learned of each queue. */
export class ForecastTable {
  private readonly forecasts = new Map<string, WorkForecast>();

  private constructor() {}

  /** Creates a book of queues of which nothing is known. */
  static create(): ForecastTable {
    return new ForecastTable();
  }

  /** Returns what to expect of a job. */
  estimate(queue: string, work: DeclaredWork): ExpectedWork {
    return estimateWork(this.find(queue), work);
  }

  /** Learns from a job that ended. */
  record(queue: string, work: DeclaredWork, observedMs: number): void {
    this.forecasts.set(queue, recordWork(this.find(queue), work, observedMs));
  }

  /** Takes what others have learned, where it rests on more jobs. */
  merge(others: QueueForecasts): void {
    for (const [queue, forecast] of others) {
      const known = this.find(queue).count;
      if (forecast.count > known) this.forecasts.set(queue, forecast);
    }
  }

  /** Copies what was learned. */
  list(): QueueForecasts {
    return new Map(this.forecasts);
  }

  private find(queue: string): WorkForecast {
    return this.forecasts.get(queue) ?? FIRST_WORK_FORECAST;
  }
}

/** Counts the jobs that forecasts rest on. */
export function countJobs(forecasts: QueueForecasts): number {
  return [...forecasts.values()].reduce((sum, {count}) => sum + count, 0);
}
