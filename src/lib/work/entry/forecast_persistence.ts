/** Keeps an entry's forecasts in the platform's store, over its restarts. */
import type {StartTimer} from '../../core/clock.js';
import {repeatTimer} from '../../core/clock.js';
import {countJobs} from '../../decisions/forecast_table.js';
import type {QueueForecasts} from '../../decisions/forecast_table.js';
import type {PlatformStore, StoredValue} from '../../store/platform_store.js';
import {ABSENT_REVISION} from '../../store/platform_store.js';
import {OWN_PREFIX} from '../registered_entries.js';
import {decodeForecasts, encodeForecasts} from './forecast_codec.js';

/** What the keeper needs. */
export interface ForecastPersistenceOptions {
  readonly store: Pick<PlatformStore, 'list' | 'write'>;
  readonly startTimer: StartTimer;
  /** Runs a function in a turn of the task that owns the keeper. */
  readonly runInTask: (run: () => void) => void;
  /** Is handed what the store holds. */
  readonly publish: (forecasts: QueueForecasts) => void;
  readonly reportFailure: (failure: unknown) => void;
}

const FORECASTS_KEY = `${OWN_PREFIX}forecasts`;

/**
 * Time in milliseconds between two looks at the store. Each costs a read, and a
 * write where this entry has learned more; what is lost with all entries at
 * once is what a few hundred jobs have taught.
 */
const SYNC_PERIOD_MS = 10_000;

/** Share by which this entry must have learned more than the store holds. */
const MIN_GAIN_RATIO = 1.1;

/**
 * Reads the forecasts at the start and writes them from time to time. The value
 * is a help, not a promise: a failed call is reported and made up for by the
 * next one.
 */
export class ForecastPersistence {
  private own: QueueForecasts = new Map();
  private readonly stopTimer: () => void;

  private constructor(private readonly options: ForecastPersistenceOptions) {
    this.stopTimer = repeatTimer(options.startTimer, SYNC_PERIOD_MS, () =>
      this.refresh(),
    );
    this.refresh();
  }

  /** Creates a keeper; it reads the store at once. */
  static create(options: ForecastPersistenceOptions): ForecastPersistence {
    return new ForecastPersistence(options);
  }

  /** Takes what this entry has learned. */
  update(forecasts: QueueForecasts): void {
    this.own = forecasts;
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
    const known = decodeForecasts(stored?.value ?? '');
    if (known.size > 0) publish(known);
    const isRicher = countJobs(this.own) > countJobs(known) * MIN_GAIN_RATIO;
    if (!isRicher) return;
    const expectedRevision = stored?.revision ?? ABSENT_REVISION;
    const value = encodeForecasts(this.own);
    // Another entry that wrote first has about as much to tell.
    void store
      .write({key: FORECASTS_KEY, value, expectedRevision})
      .catch((failure: unknown) => reportFailure(failure));
  }
}
