/** Persists an entry's forecasts in the platform's store across restarts. */
import type {StartTimer} from '../../core/clock.js';
import {repeatTimer} from '../../core/clock.js';
import {countJobs} from '../../decisions/forecast_table.js';
import type {QueueForecasts} from '../../decisions/forecast_table.js';
import type {PlatformStore, StoredValue} from '../../store/platform_store.js';
import {ABSENT_REVISION} from '../../store/platform_store.js';
import {OWN_PREFIX} from '../registered_entries.js';
import {decodeForecasts, encodeForecasts} from './forecast_codec.js';

/** Dependencies and callbacks of the persistence of forecasts. */
export interface ForecastPersistenceOptions {
  readonly store: Pick<PlatformStore, 'list' | 'write'>;
  readonly startTimer: StartTimer;
  /** Runs a function in the task that owns the instance. */
  readonly runInTask: (run: () => void) => void;
  /** Called with the forecasts read from the store. */
  readonly publish: (forecasts: QueueForecasts) => void;
  readonly reportFailure: (failure: unknown) => void;
}

const FORECASTS_KEY = `${OWN_PREFIX}forecasts`;

/**
 * Period in milliseconds of reading the store. Each time costs a read, and a
 * write where this entry has learned more. If all entries fail at once, only
 * what was learned from a few hundred jobs is lost.
 */
const SYNC_PERIOD_MS = 10_000;

/**
 * Number of jobs learned from, relative to that of the stored forecasts, above
 * which this entry replaces them.
 */
const MIN_GAIN_RATIO = 1.1;

/**
 * Reads the forecasts at the start and writes them periodically. This is best
 * effort: a failed call is reported, and the next period tries again.
 */
export class ForecastPersistence {
  private learned: QueueForecasts = new Map();
  private readonly stopTimer: () => void;

  private constructor(private readonly options: ForecastPersistenceOptions) {
    this.stopTimer = repeatTimer(options.startTimer, SYNC_PERIOD_MS, () =>
      this.refresh(),
    );
    this.refresh();
  }

  /** Creates an instance that reads the store at once. */
  static create(options: ForecastPersistenceOptions): ForecastPersistence {
    return new ForecastPersistence(options);
  }

  /** Replaces the forecasts that this entry has learned. */
  update(forecasts: QueueForecasts): void {
    this.learned = forecasts;
  }

  /** Stops reading and writing. */
  stop(): void {
    this.stopTimer();
  }

  private refresh(): void {
    const {store, runInTask, reportFailure} = this.options;
    void store.list(FORECASTS_KEY).then(
      ({values}) => runInTask(() => this.handleStored(values[0])),
      failure => reportFailure(failure),
    );
  }

  private handleStored(stored: StoredValue | undefined): void {
    const {store, publish, reportFailure} = this.options;
    const storedForecasts = decodeForecasts(stored?.value ?? '');
    if (storedForecasts.size > 0) publish(storedForecasts);
    const hasLearnedMore =
      countJobs(this.learned) > countJobs(storedForecasts) * MIN_GAIN_RATIO;
    if (!hasLearnedMore) return;
    const expectedRevision = stored?.revision ?? ABSENT_REVISION;
    const value = encodeForecasts(this.learned);
    // If another entry has written first, its forecasts are about as good.
    void store
      .write({key: FORECASTS_KEY, value, expectedRevision})
      .catch((failure: unknown) => reportFailure(failure));
  }
}
