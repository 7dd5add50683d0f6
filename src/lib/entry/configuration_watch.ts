/** Watches the configuration in the store; part of the configuration task. */
import {ChartInstance} from '../core/chart_instance.js';
import {computeBackoffMs} from '../core/backoff.js';
import type {DrawRandom, ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {PlatformStore} from '../store/platform_store.js';
import type {RecordReport} from '../records/apply_records.js';
import {
  ReplyStatus,
  applySnapshot,
  applyWatch,
  createMirror,
  applyPeerConfiguration,
} from '../records/configuration_mirror.js';
import type {
  ConfigurationMirror,
  ReceivedConfiguration,
  MirrorUpdate,
} from '../records/configuration_mirror.js';
import {StoreContact} from '../records/configuration_view.js';
import type {
  ConfigurationEvidence,
  ConfigurationView,
} from '../records/configuration_view.js';
import {ConfigurationMessageKind} from './configuration_message.js';
import type {WatchMessage} from './configuration_message.js';
import {
  CONFIGURATION_WATCH_CHART,
  ConfigurationWatchAction,
  ConfigurationWatchEvent,
  ConfigurationWatchState,
} from './configuration_watch_chart.js';

/** Dependencies of the configuration watch. */
export interface ConfigurationWatchOptions {
  readonly store: Pick<PlatformStore, 'list' | 'watch'>;
  readonly prefix: string;
  /** Longest time in milliseconds that a watch call waits at the store. */
  readonly watchWaitMs: number;
  /** Longest time in milliseconds that a call may take beyond its wait. */
  readonly callTimeoutMs: number;
  readonly post: (message: WatchMessage) => void;
  readonly publishView: (view: ConfigurationView) => void;
  readonly publishEvidence: (evidence: ConfigurationEvidence) => void;
  readonly reportRecord: (report: RecordReport) => void;
  readonly reportFailure: (failure: unknown) => void;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
}

/** Delay before the next watch, so that a burst of changes costs few calls. */
const PAUSE_MS = 20;

/** Time beyond the wait of a watch call after which contact counts as lost. */
const OVERDUE_GRACE_MS = 500;

/** Backoff after failed calls. */
const BACKOFF_LIMITS = {firstMs: 100, longestMs: 2000};

/**
 * Lists the configuration, then watches it with one call at a time.
 *
 * Part of the configuration task: its methods are called only by that task, and
 * replies of the store come back through `post`.
 */
export class ConfigurationWatch {
  private mirror: ConfigurationMirror;
  private failures = 0;
  private published: ConfigurationView | undefined;
  private confirmedSentAtMs = Number.NEGATIVE_INFINITY;
  private evidence: ConfigurationEvidence = {
    contact: StoreContact.LOST,
    confirmedSentAtMs: Number.NEGATIVE_INFINITY,
  };
  private readonly chart: ChartInstance<
    ConfigurationWatchState,
    ConfigurationWatchEvent
  >;

  private constructor(private readonly options: ConfigurationWatchOptions) {
    this.mirror = createMirror(options.prefix);
    this.chart = ChartInstance.create(CONFIGURATION_WATCH_CHART, {
      startNamedTimer: (name, fire) =>
        options.startTimer(this.computeDelayMs(name), fire),
      fire: event =>
        options.post({
          kind: ConfigurationMessageKind.WATCH_EVENT,
          event: event as ConfigurationWatchEvent,
        }),
      perform: action => this.perform(action as ConfigurationWatchAction),
    });
  }

  /** Creates a watch and sends its first list call. */
  static create(options: ConfigurationWatchOptions): ConfigurationWatch {
    const watch = new ConfigurationWatch(options);
    watch.sendList();
    return watch;
  }

  /** Handles a store reply or an event; returns the mirror after it. */
  handle(message: WatchMessage): ConfigurationMirror {
    switch (message.kind) {
      case ConfigurationMessageKind.LISTED:
        this.apply(
          applySnapshot(this.mirror, message.snapshot),
          message.sentAtMs,
        );
        break;
      case ConfigurationMessageKind.WATCHED:
        this.apply(applyWatch(this.mirror, message.changes), message.sentAtMs);
        break;
      case ConfigurationMessageKind.WATCH_EVENT:
        this.send(message.event);
        break;
    }
    return this.mirror;
  }

  /** Applies the configuration that a peer has sent, if it is newer. */
  learn(learned: ReceivedConfiguration): void {
    const before = this.mirror.view;
    this.mirror = applyPeerConfiguration(this.mirror, learned);
    if (this.mirror.view === before) return;
    this.publishView();
    // The store has not confirmed this revision yet, so the time of the last
    // confirmation must not be taken as its own.
    this.confirmedSentAtMs = Number.NEGATIVE_INFINITY;
    this.publishEvidence(StoreContact.LOST);
  }

  /** Cancels the timers of the watch. */
  stop(): void {
    this.chart.stopTimers();
  }

  private apply(update: MirrorUpdate, sentAtMs: number): void {
    this.mirror = update.mirror;
    for (const report of update.reports) this.options.reportRecord(report);
    switch (update.status) {
      case ReplyStatus.CURRENT:
        this.confirmedSentAtMs = sentAtMs;
        this.send(ConfigurationWatchEvent.ANSWERED);
        break;
      case ReplyStatus.STALE:
        this.send(ConfigurationWatchEvent.STALE);
        break;
      case ReplyStatus.COMPACTED:
        this.send(ConfigurationWatchEvent.COMPACTED);
        break;
    }
  }

  private send(event: ConfigurationWatchEvent): void {
    this.failures = this.countFailures(event);
    this.chart.send(event);
  }

  private countFailures(event: ConfigurationWatchEvent): number {
    if (event === ConfigurationWatchEvent.ANSWERED) return 0;
    const isFailure =
      event === ConfigurationWatchEvent.FAILED ||
      event === ConfigurationWatchEvent.STALE ||
      event === ConfigurationWatchEvent.COMPACTED;
    return isFailure ? this.failures + 1 : this.failures;
  }

  private perform(action: ConfigurationWatchAction): void {
    switch (action) {
      case ConfigurationWatchAction.LIST:
        this.sendList();
        break;
      case ConfigurationWatchAction.WATCH:
        this.sendWatch();
        break;
      case ConfigurationWatchAction.CONFIRM:
        this.publishView();
        this.publishEvidence(StoreContact.CONFIRMED);
        break;
      case ConfigurationWatchAction.LOSE_CONTACT:
        this.publishEvidence(StoreContact.LOST);
        break;
    }
  }

  private sendList(): void {
    const sentAtMs = this.options.readMonotonicMs();
    this.options.store.list(this.options.prefix).then(
      snapshot =>
        this.options.post({
          kind: ConfigurationMessageKind.LISTED,
          snapshot,
          sentAtMs,
        }),
      failure => this.fail(failure),
    );
  }

  private sendWatch(): void {
    const {store, prefix, watchWaitMs} = this.options;
    const sentAtMs = this.options.readMonotonicMs();
    store.watch(prefix, this.mirror.revision, watchWaitMs).then(
      changes =>
        this.options.post({
          kind: ConfigurationMessageKind.WATCHED,
          changes,
          sentAtMs,
        }),
      failure => this.fail(failure),
    );
  }

  private fail(failure: unknown): void {
    this.options.reportFailure(failure);
    this.options.post({
      kind: ConfigurationMessageKind.WATCH_EVENT,
      event: ConfigurationWatchEvent.FAILED,
    });
  }

  /** Publishes the view if it differs from the last one published. */
  private publishView(): void {
    const {view} = this.mirror;
    if (this.published === view) return;
    this.published = view;
    this.options.publishView(view);
  }

  /** Publishes each confirmation, and each loss of contact once. */
  private publishEvidence(contact: StoreContact): void {
    const {confirmedSentAtMs} = this;
    const isChanged =
      contact === StoreContact.CONFIRMED ||
      contact !== this.evidence.contact ||
      confirmedSentAtMs !== this.evidence.confirmedSentAtMs;
    if (!isChanged) return;
    this.evidence = {contact, confirmedSentAtMs};
    this.options.publishEvidence(this.evidence);
  }

  private computeDelayMs(timer: string): number {
    switch (timer) {
      case 'overdue':
        return this.computeOverdueMs();
      case 'pause':
        return PAUSE_MS;
      default:
        return computeBackoffMs(
          this.failures,
          BACKOFF_LIMITS,
          this.options.drawRandom,
        );
    }
  }

  private computeOverdueMs(): number {
    const {watchWaitMs, callTimeoutMs} = this.options;
    return watchWaitMs + Math.min(callTimeoutMs, OVERDUE_GRACE_MS);
  }
}
