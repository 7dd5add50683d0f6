/** The work forecasts of an entry, by queue. */
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

/** Forecast models by the name of the queue. */
export type QueueForecasts = ReadonlyMap<string, WorkForecast>;

/** Holds the forecast model of each queue. */
export class ForecastTable {
  private readonly forecasts = new Map<string, WorkForecast>();

  private constructor() {}

  /** Creates a table without models. */
  static create(): ForecastTable {
    return new ForecastTable();
  }

  /** Forecasts a job of the queue. */
  estimate(queue: string, work: DeclaredWork): ExpectedWork {
    return estimateWork(this.find(queue), work);
  }

  /** Updates the queue's model with the run time of the longest task of a job of one step. */
  record(queue: string, work: DeclaredWork, observedMs: number): void {
    this.forecasts.set(queue, recordWork(this.find(queue), work, observedMs));
  }

  /** Adopts the models of other entries that are based on more jobs. */
  merge(others: QueueForecasts): void {
    for (const [queue, forecast] of others) {
      const known = this.find(queue).count;
      if (forecast.count > known) this.forecasts.set(queue, forecast);
    }
  }

  /** Returns a copy of all models. */
  list(): QueueForecasts {
    return new Map(this.forecasts);
  }

  private find(queue: string): WorkForecast {
    return this.forecasts.get(queue) ?? FIRST_WORK_FORECAST;
  }
}

/** Returns the number of jobs that the forecasts are based on. */
export function countJobs(forecasts: QueueForecasts): number {
  return [...forecasts.values()].reduce((sum, {count}) => sum + count, 0);
}
