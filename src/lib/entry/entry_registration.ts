/** Keeps an entry registered in the store; part of the configuration task. */
import {ChartInstance} from '../core/chart_instance.js';
import type {ChartStep} from '../core/chart.js';
import {computeBackoffMs} from '../core/backoff.js';
import type {DrawRandom, StartTimer} from '../core/clock.js';
import {ErrorCode, FoxtailbayError} from '../core/errors.js';
import {ABSENT_REVISION} from '../store/platform_store.js';
import type {PlatformStore, StoreSnapshot} from '../store/platform_store.js';
import type {ConfigurationMirror} from '../records/configuration_mirror.js';
import type {EntryAddress} from '../records/configuration_view.js';
import {ENTRIES_FOLDER} from '../records/record.js';
import {
  RegistrationAction,
  decideRegistration,
  formatRegistration,
} from '../records/registration.js';
import type {Registration} from '../records/registration.js';
import {ConfigurationMessageKind} from './configuration_message.js';
import type {RegistrationMessage} from './configuration_message.js';
import {
  ENTRY_REGISTRATION_CHART,
  EntryRegistrationAction,
  EntryRegistrationEvent,
  EntryRegistrationState,
} from './entry_registration_chart.js';

/** Dependencies of the registration. */
export interface EntryRegistrationOptions {
  readonly store: PlatformStore;
  readonly prefix: string;
  readonly entry: EntryAddress;
  readonly leaseMs: number;
  readonly post: (message: RegistrationMessage) => void;
  readonly reportState: (state: EntryRegistrationState) => void;
  readonly reportFailure: (failure: unknown) => void;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
}

/** The result of a store call, without the call's number. */
type CallResult = Omit<RegistrationMessage, 'kind' | 'call'>;

/** Renewals per lease duration; a lease survives two lost renewals. */
const RENEWALS_PER_LEASE = 3;

/** Backoff after failed calls. */
const BACKOFF_LIMITS = {firstMs: 100, longestMs: 2000};

const CHOICE_EVENTS: Readonly<
  Record<RegistrationAction, EntryRegistrationEvent>
> = {
  [RegistrationAction.KEEP]: EntryRegistrationEvent.OWN,
  [RegistrationAction.WRITE]: EntryRegistrationEvent.FREE,
  [RegistrationAction.YIELD]: EntryRegistrationEvent.SUPERSEDED,
};

/**
 * Registers an entry under a lease and renews it.
 *
 * Part of the configuration task, like `ConfigurationWatch`. One call is in
 * flight at a time; the result of an abandoned call is recognised by its number
 * and ignored.
 */
export class EntryRegistration {
  private lease = '';
  /** Resolves when closing the lease has ended; `stop` waits for it. */
  private leaseClosing: Promise<void> = Promise.resolve();
  private call = 0;
  private failures = 0;
  private hasRegistered = false;
  /** Revision of the registration as last found or written. */
  private revision = ABSENT_REVISION;
  private readonly chart: ChartInstance<
    EntryRegistrationState,
    EntryRegistrationEvent
  >;

  private constructor(private readonly options: EntryRegistrationOptions) {
    this.chart = ChartInstance.create(ENTRY_REGISTRATION_CHART, {
      startNamedTimer: (name, fire) =>
        options.startTimer(this.computeDelayMs(name), fire),
      fire: event =>
        options.post({
          kind: ConfigurationMessageKind.REGISTRATION_EVENT,
          event: event as EntryRegistrationEvent,
        }),
      perform: action => this.perform(action as EntryRegistrationAction),
    });
  }

  /** Creates a registration and requests its lease. */
  static create(options: EntryRegistrationOptions): EntryRegistration {
    const registration = new EntryRegistration(options);
    registration.openLease();
    return registration;
  }

  /** Handles the result of a call or a timer event; ignores abandoned calls. */
  handle(message: RegistrationMessage): void {
    const isTimer = message.call === undefined;
    if (!isTimer && message.call !== this.call) return;
    if (message.lease !== undefined) this.lease = message.lease;
    if (message.revision !== undefined) this.revision = message.revision;
    this.send(message.event);
  }

  /** Registers again if a newer view of the store lacks the registration. */
  observe({
    entries,
    revision,
  }: Pick<ConfigurationMirror, 'entries' | 'revision'>): void {
    if (revision <= this.revision) return;
    const {id, incarnation} = this.options.entry;
    if (entries.get(id)?.incarnation === incarnation) return;
    const step = this.send(EntryRegistrationEvent.DISPLACED);
    // The result of a renewal in flight must not be taken for that of a read.
    if (step.isHandled) this.call += 1;
  }

  /** Withdraws the registration; this entry still serves, but is not found. */
  leave(): void {
    this.send(EntryRegistrationEvent.LEAVE);
  }

  /** Cancels the timers and closes the lease, if one is held. */
  async stop(): Promise<void> {
    this.chart.stopTimers();
    const {state} = this.chart;
    await this.leaseClosing;
    if (this.lease === '' || ENTRY_REGISTRATION_CHART.isFinal(state)) return;
    await this.endLease();
  }

  private send(
    event: EntryRegistrationEvent,
  ): ChartStep<EntryRegistrationState> {
    if (event === EntryRegistrationEvent.FAILED) this.failures += 1;
    if (event === EntryRegistrationEvent.CONFLICT) this.failures += 1;
    const before = this.chart.state;
    const step = this.chart.send(event);
    if (this.chart.state === EntryRegistrationState.REGISTERED) {
      this.failures = 0;
      this.hasRegistered = true;
    }
    if (this.chart.state !== before) this.options.reportState(this.chart.state);
    return step;
  }

  private perform(action: EntryRegistrationAction): void {
    switch (action) {
      case EntryRegistrationAction.OPEN_LEASE:
        this.openLease();
        break;
      case EntryRegistrationAction.READ:
        this.read();
        break;
      case EntryRegistrationAction.WRITE:
        this.write();
        break;
      case EntryRegistrationAction.RENEW:
        this.renew();
        break;
      case EntryRegistrationAction.CLOSE_LEASE:
        this.leaseClosing = this.endLease();
        break;
      case EntryRegistrationAction.REPORT_SUPERSEDED:
        this.lease = '';
        break;
    }
  }

  private openLease(): void {
    const opening = this.options.store.openLease(this.options.leaseMs);
    this.follow(
      opening.then(lease => ({event: EntryRegistrationEvent.OPENED, lease})),
    );
  }

  private read(): void {
    const reading = this.options.store.list(this.key);
    this.follow(reading.then(snapshot => this.choose(snapshot)));
  }

  private write(): void {
    const writing = this.options.store.write({
      key: this.key,
      value: formatRegistration(this.registration),
      expectedRevision: this.revision,
      lease: this.lease,
    });
    this.follow(
      writing.then(revision => ({
        event: EntryRegistrationEvent.WRITTEN,
        revision,
      })),
    );
  }

  private renew(): void {
    const renewing = this.options.store.renewLease(this.lease);
    this.follow(renewing.then(() => ({event: EntryRegistrationEvent.RENEWED})));
  }

  private async endLease(): Promise<void> {
    const {lease} = this;
    this.lease = '';
    try {
      await this.options.store.closeLease(lease);
    } catch (failure) {
      // The lease expires by itself.
      this.options.reportFailure(failure);
    }
  }

  private choose(snapshot: StoreSnapshot): CallResult {
    const found = snapshot.values.find(value => value.key === this.key);
    const choice = decideRegistration(
      found,
      this.registration,
      this.hasRegistered,
    );
    return {
      event: CHOICE_EVENTS[choice],
      revision: found?.revision ?? ABSENT_REVISION,
    };
  }

  /** Numbers a call that has begun and posts its result when it ends. */
  private follow(result: Promise<CallResult>): void {
    this.call += 1;
    const {call} = this;
    const post = (outcome: CallResult) =>
      this.options.post({
        kind: ConfigurationMessageKind.REGISTRATION_EVENT,
        call,
        ...outcome,
      });
    result.then(post, failure => post({event: this.classify(failure)}));
  }

  private classify(failure: unknown): EntryRegistrationEvent {
    this.options.reportFailure(failure);
    const isConflict =
      failure instanceof FoxtailbayError &&
      failure.code === ErrorCode.STORE_CONFLICT;
    return isConflict
      ? EntryRegistrationEvent.CONFLICT
      : EntryRegistrationEvent.FAILED;
  }

  private get key(): string {
    return this.options.prefix + ENTRIES_FOLDER + this.options.entry.id;
  }

  private get registration(): Registration {
    return {...this.options.entry, lease: this.lease};
  }

  private computeDelayMs(timer: string): number {
    const {leaseMs, drawRandom} = this.options;
    if (timer === 'renew') return leaseMs / RENEWALS_PER_LEASE;
    return computeBackoffMs(this.failures, BACKOFF_LIMITS, drawRandom);
  }
}
