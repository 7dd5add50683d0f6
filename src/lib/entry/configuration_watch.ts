/** Follows the configuration in the store on behalf of the configuration task. */
import {ChartInstance} from '../core/chart_instance.js';
import {computeBackoffMs} from '../core/backoff.js';
import type {DrawRandom, ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {PlatformStore} from '../store/platform_store.js';
import type {RecordReport} from '../records/apply_records.js';
import {
  ReplyStanding,
  applySnapshot,
  applyWatch,
  createMirror,
  learnConfiguration,
} from '../records/configuration_mirror.js';
import type {
  ConfigurationMirror,
  LearnedConfiguration,
  MirrorStep,
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

/** What the watch needs. */
export interface ConfigurationWatchOptions {
  readonly store: Pick<PlatformStore, 'list' | 'watch'>;
  readonly prefix: string;
  /** Longest time that a watch call waits at the store. */
  readonly watchWaitMs: number;
  /** Longest time that any call may take beyond its wait. */
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

/** Time beyond a watch's wait after which contact counts as lost. */
const OVERDUE_GRACE_MS = 500;

/** Delays between failed calls. */
const BACKOFF_LIMITS = {firstMs: 100, longestMs: 2000};

/**
 * Lists the configuration, then watches it with one call at a time.
 *
 * Belongs to the configuration task: its methods run in that task's turns
 * alone, and replies come back through `post`.
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
  private readonly run: ChartInstance<
    ConfigurationWatchState,
    ConfigurationWatchEvent
  >;

  private constructor(private readonly options: ConfigurationWatchOptions) {
    this.mirror = createMirror(options.prefix);
    this.run = ChartInstance.create(CONFIGURATION_WATCH_CHART, {
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

  /** Creates a watch and sends its first call. */
  static create(options: ConfigurationWatchOptions): ConfigurationWatch {
    const watch = new ConfigurationWatch(options);
    watch.sendList();
    return watch;
  }

  /** Takes a reply or an event that the watch has posted. */
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

  /** Puts in force what a peer has told, if it is newer. */
  learn(learned: LearnedConfiguration): void {
    const before = this.mirror.view;
    this.mirror = learnConfiguration(this.mirror, learned);
    if (this.mirror.view === before) return;
    this.publishView();
    // The store has not confirmed this revision yet, so the time of the last
    // confirmation must not be read as one of it.
    this.confirmedSentAtMs = Number.NEGATIVE_INFINITY;
    this.publishEvidence(StoreContact.LOST);
  }

  /** Stops the timers. */
  stop(): void {
    this.run.stopTimers();
  }

  private apply(step: MirrorStep, sentAtMs: number): void {
    this.mirror = step.mirror;
    for (const report of step.reports) this.options.reportRecord(report);
    switch (step.standing) {
      case ReplyStanding.CONFIRMING:
        this.confirmedSentAtMs = sentAtMs;
        this.send(ConfigurationWatchEvent.ANSWERED);
        break;
      case ReplyStanding.STALE:
        this.send(ConfigurationWatchEvent.STALE);
        break;
      case ReplyStanding.COMPACTED:
        this.send(ConfigurationWatchEvent.COMPACTED);
        break;
    }
  }

  private send(event: ConfigurationWatchEvent): void {
    this.failures = this.countFailures(event);
    this.run.send(event);
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

  /** Tells the view if it is newer than the one told last. */
  private publishView(): void {
    const {view} = this.mirror;
    if (this.published === view) return;
    this.published = view;
    this.options.publishView(view);
  }

  /** Tells each confirmation, and each loss of contact once. */
  private publishEvidence(contact: StoreContact): void {
    const {confirmedSentAtMs} = this;
    const isNews =
      contact === StoreContact.CONFIRMED ||
      contact !== this.evidence.contact ||
      confirmedSentAtMs !== this.evidence.confirmedSentAtMs;
    if (!isNews) return;
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
