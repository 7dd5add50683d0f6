/** Watches the keys under one prefix of the store. */
import {computeBackoffMs} from '../../core/backoff.js';
import {ChartInstance} from '../../core/chart_instance.js';
import type {DrawRandom, StartTimer} from '../../core/clock.js';
import {
  CONFIGURATION_WATCH_CHART,
  ConfigurationWatchAction,
  ConfigurationWatchEvent,
  ConfigurationWatchState,
} from '../../entry/configuration_watch_chart.js';
import {StoreChangeKind} from '../../store/platform_store.js';
import type {
  PlatformStore,
  StoreChanges,
  StoreSnapshot,
} from '../../store/platform_store.js';

/** The keys under a prefix and their values, as of one revision of the store. */
export interface StoreMirror {
  readonly revision: number;
  readonly values: ReadonlyMap<string, string>;
}

/** Settings, dependencies and callbacks of a watch. */
export interface StoreWatchOptions {
  readonly store: Pick<PlatformStore, 'list' | 'watch'>;
  readonly prefix: string;
  /** Maximum time in milliseconds that a watch call waits at the store. */
  readonly waitMs: number;
  /** Time in milliseconds beyond `waitMs` after which a call counts as failed. */
  readonly graceMs: number;
  /** Runs a function in the task that owns the watch. */
  readonly runInTask: (run: () => void) => void;
  /** Called with the mirror whenever a key or value in it has changed. */
  readonly publish: (mirror: StoreMirror) => void;
  readonly reportConnection: (isConnected: boolean, detail: string) => void;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
}

/** Delay in milliseconds before the next watch call, so that it returns several changes. */
const WATCH_PAUSE_MS = 20;

/** Backoff in milliseconds between failed calls. */
const BACKOFF_LIMITS = {firstMs: 100, longestMs: 800};

/** Lists a prefix, then watches it with one call at a time. */
export class StoreWatch {
  private readonly values = new Map<string, string>();
  private revision = 0;
  private failures = 0;
  private hasPublished = false;
  private callNumber = 0;
  private readonly chart: ChartInstance<
    ConfigurationWatchState,
    ConfigurationWatchEvent
  >;

  private constructor(private readonly options: StoreWatchOptions) {
    this.chart = ChartInstance.create(CONFIGURATION_WATCH_CHART, {
      startNamedTimer: (name, fire) =>
        options.startTimer(this.computeDelayMs(name), fire),
      fire: event =>
        options.runInTask(() => this.send(event as ConfigurationWatchEvent)),
      perform: action => this.perform(action as ConfigurationWatchAction),
    });
  }

  /** Creates a watch and sends its first call. */
  static create(options: StoreWatchOptions): StoreWatch {
    const watch = new StoreWatch(options);
    watch.list();
    return watch;
  }

  /** Stops the timers of the state chart. */
  stop(): void {
    this.chart.stopTimers();
  }

  private perform(action: ConfigurationWatchAction): void {
    switch (action) {
      case ConfigurationWatchAction.LIST:
        this.list();
        break;
      case ConfigurationWatchAction.WATCH:
        this.watch();
        break;
      case ConfigurationWatchAction.CONFIRM:
        this.options.reportConnection(true, '');
        break;
      case ConfigurationWatchAction.LOSE_CONTACT:
        this.options.reportConnection(false, 'no answer');
        break;
    }
  }

  private list(): void {
    const {store, prefix} = this.options;
    this.awaitReply(store.list(prefix), snapshot =>
      this.applySnapshot(snapshot),
    );
  }

  private watch(): void {
    const {store, prefix, waitMs} = this.options;
    this.awaitReply(store.watch(prefix, this.revision, waitMs), changes =>
      this.applyChanges(changes),
    );
  }

  private awaitReply<T>(
    reply: Promise<T>,
    handleReply: (reply: T) => void,
  ): void {
    this.callNumber += 1;
    const {callNumber} = this;
    const runIfCurrent = (handleResult: () => void) =>
      this.options.runInTask(() => {
        if (callNumber === this.callNumber) handleResult();
      });
    reply.then(
      value => runIfCurrent(() => handleReply(value)),
      () => runIfCurrent(() => this.send(ConfigurationWatchEvent.FAILED)),
    );
  }

  private applySnapshot(snapshot: StoreSnapshot): void {
    if (snapshot.revision < this.revision) {
      this.send(ConfigurationWatchEvent.STALE);
      return;
    }
    const before = new Map(this.values);
    this.values.clear();
    for (const {key, value} of snapshot.values) this.values.set(key, value);
    this.advance(snapshot.revision, !isSame(before, this.values));
  }

  private applyChanges(changes: StoreChanges): void {
    if (changes.isCompacted) {
      this.send(ConfigurationWatchEvent.COMPACTED);
      return;
    }
    if (changes.revision < this.revision) {
      this.send(ConfigurationWatchEvent.STALE);
      return;
    }
    for (const {kind, key, value} of changes.changes) {
      if (kind === StoreChangeKind.WRITTEN) this.values.set(key, value);
      else this.values.delete(key);
    }
    this.advance(changes.revision, changes.changes.length > 0);
  }

  private advance(revision: number, isChanged: boolean): void {
    this.revision = revision;
    if (isChanged || !this.hasPublished) {
      this.hasPublished = true;
      this.options.publish({revision, values: this.values});
    }
    this.send(ConfigurationWatchEvent.ANSWERED);
  }

  private send(event: ConfigurationWatchEvent): void {
    const isFailure =
      event === ConfigurationWatchEvent.FAILED ||
      event === ConfigurationWatchEvent.STALE ||
      event === ConfigurationWatchEvent.COMPACTED;
    if (event === ConfigurationWatchEvent.ANSWERED) this.failures = 0;
    if (isFailure) this.failures += 1;
    this.chart.send(event);
  }

  private computeDelayMs(timer: string): number {
    if (timer === 'pause') return WATCH_PAUSE_MS;
    if (timer === 'overdue') return this.options.waitMs + this.options.graceMs;
    return computeBackoffMs(
      this.failures,
      BACKOFF_LIMITS,
      this.options.drawRandom,
    );
  }
}

function isSame(
  before: ReadonlyMap<string, string>,
  after: ReadonlyMap<string, string>,
): boolean {
  if (before.size !== after.size) return false;
  return [...after].every(([key, value]) => before.get(key) === value);
}
