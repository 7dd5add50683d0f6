/** The work forecasts of an entry, by queue. */
import {
  NO_RECENT_REPEATS,
  estimateRepeatShare,
  isCertainRepeat,
  isLikelyRepeat,
  isRepeatWave,
  recordArrival,
  isRepeatInHindsight,
} from './repeat_likelihood.js';
import {
  FIRST_WORK_FORECAST,
  PLAIN_FORECAST_RULES,
  computeModelledRun,
  estimateWork,
  findRepeatEvidence,
  findShortPatience,
  limitFactorByErrors,
  recordWork,
} from './work_forecast.js';
import type {
  DeclaredWork,
  ExpectedWork,
  WorkForecast,
} from './work_forecast.js';

/** Forecast models by the name of the queue. */
export type QueueForecasts = ReadonlyMap<string, WorkForecast>;

/** Settings of a table of forecasts. */
export interface ForecastTableOptions {
  /**
   * Whether a job counts as repeated only if that is likely, and a good model may
   * exceed the estimate by more. Otherwise each job that may be a repeat counts as one.
   */
  readonly weighsRepeats: boolean;
}

/** Holds the forecast model of each queue. */
export class ForecastTable {
  private readonly forecasts = new Map<string, WorkForecast>();
  /** Of all queues together: after an outage, the callers of each come again. */
  private recent = NO_RECENT_REPEATS;

  private constructor(private readonly options: ForecastTableOptions) {}

  /** Creates a table without models. */
  static create(options: ForecastTableOptions): ForecastTable {
    return new ForecastTable(options);
  }

  /** Forecasts a job of the queue that has come now. */
  estimate(queue: string, work: DeclaredWork, nowMs: number): ExpectedWork {
    const forecast = this.find(queue);
    if (!this.options.weighsRepeats) {
      return estimateWork(forecast, work, PLAIN_FORECAST_RULES);
    }
    const evidence = findRepeatEvidence(forecast, work);
    const isCertain = evidence !== undefined && isCertainRepeat(evidence);
    this.recent = recordArrival(this.recent, isCertain, nowMs);
    const share = estimateRepeatShare(this.recent, nowMs);
    return estimateWork(forecast, work, {
      isRepeat: evidence => isLikelyRepeat(evidence, share),
      limitFactor: limitFactorByErrors,
    });
  }

  /** Updates the queue's model with the run time of the longest task of a job of one step. */
  record(queue: string, work: DeclaredWork, observedMs: number): void {
    if (!this.isInstructive(queue, work, observedMs)) return;
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

  /**
   * Returns whether a completed job improves its queue's model. The patience left
   * of a repeat that was not recognized is wrong by a second or more, and a few of
   * them raise the moving error of the model so far that it is not used any more.
   */
  private isInstructive(
    queue: string,
    work: DeclaredWork,
    observedMs: number,
  ): boolean {
    const forecast = this.find(queue);
    const modelMs = computeModelledRun(forecast, work);
    if (!this.options.weighsRepeats || modelMs === undefined) return true;
    if (modelMs <= 0 || isRepeatWave(this.recent)) return false;
    const evidence = findShortPatience(forecast, work);
    return evidence === undefined || !isRepeatInHindsight(evidence, observedMs);
  }

  private find(queue: string): WorkForecast {
    return this.forecasts.get(queue) ?? FIRST_WORK_FORECAST;
  }
}

/** Returns the number of jobs that the forecasts are based on. */
export function countJobs(forecasts: QueueForecasts): number {
  return [...forecasts.values()].reduce((sum, {count}) => sum + count, 0);
}
