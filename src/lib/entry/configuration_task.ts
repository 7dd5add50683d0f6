/** The task that watches the configuration and keeps this entry registered. */
import type {DrawRandom, ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import {PostOutcome, Task} from '../core/task.js';
import type {Post} from '../core/task.js';
import type {PlatformStore} from '../store/platform_store.js';
import type {RecordReport} from '../records/apply_records.js';
import type {
  ConfigurationEvidence,
  ConfigurationView,
} from '../records/configuration_view.js';
import {ConfigurationMessageKind} from './configuration_message.js';
import type {
  ConfigurationMessage,
  ConfigurationRequest,
} from './configuration_message.js';
import {ConfigurationWatch} from './configuration_watch.js';
import {EntryRegistration} from './entry_registration.js';
import type {EntryRegistrationState} from './entry_registration_chart.js';

/** Dependencies of the configuration task. */
export interface ConfigurationTaskOptions {
  /** Client of the store; the task owns it and closes it when it stops. */
  readonly store: PlatformStore;
  readonly identity: ProcessIdentity;
  /** `host:port` at which others reach this entry's gRPC listener. */
  readonly address: string;
  /** Prefix of every key of foxtailbay in the store. */
  readonly prefix: string;
  readonly watchWaitMs: number;
  readonly callTimeoutMs: number;
  readonly leaseMs: number;
  /** Receives each newer view; there is no view before the first call. */
  readonly publishView: (view: ConfigurationView) => void;
  /** Receives each confirmation of the view, and each loss of contact once. */
  readonly publishEvidence: (evidence: ConfigurationEvidence) => void;
  /** Receives each version of a record that was rejected. */
  readonly reportRecord: (report: RecordReport) => void;
  /** Receives each new state of this entry's registration. */
  readonly reportRegistration: (state: EntryRegistrationState) => void;
  /** Receives each failed store call and each failure of the task itself. */
  readonly reportFailure: (failure: unknown) => void;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
}

/** Capacity of the mailbox in messages. */
const MAILBOX_CAPACITY = 256;

/** Mailbox capacity reserved for the task's own store replies and timers. */
const RESERVED_CAPACITY = 32;

/**
 * Owns the client of the store: lists and watches the configuration, publishes
 * it with evidence of its freshness, and keeps this entry registered.
 *
 * Recovers from outages of the store by itself: failed calls are retried with
 * jittered exponential backoff, and the last view stays in force meanwhile.
 */
export class ConfigurationTask {
  private readonly task: Task<ConfigurationMessage>;
  private readonly watch: ConfigurationWatch;
  private readonly registration: EntryRegistration;

  private constructor(private readonly options: ConfigurationTaskOptions) {
    this.task = Task.create<ConfigurationMessage>({
      name: 'configuration',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: options.reportFailure,
    });
    const shared = {
      ...options,
      post: (message: ConfigurationMessage) => void this.task.post(message),
      reportFailure: (failure: unknown) => this.report(failure),
    };
    this.task.store.add(() => options.store.close());
    this.watch = ConfigurationWatch.create(shared);
    this.task.store.add(() => this.watch.stop());
    const {id, incarnation} = options.identity;
    this.registration = EntryRegistration.create({
      ...shared,
      entry: {id, incarnation, address: options.address},
      reportState: options.reportRegistration,
    });
    this.task.store.add(() => this.registration.stop());
  }

  /** Creates the task; its first calls are sent at once. */
  static create(options: ConfigurationTaskOptions): ConfigurationTask {
    return new ConfigurationTask(options);
  }

  /** Posts a request of another task, unless the mailbox is nearly full. */
  readonly post: Post<ConfigurationRequest> = message => {
    const isNearlyFull =
      this.task.backlog >= MAILBOX_CAPACITY - RESERVED_CAPACITY;
    return isNearlyFull ? PostOutcome.FULL : this.task.post(message);
  };

  /** Ends the registration, stops the watch and closes the client. */
  async stop(): Promise<void> {
    await this.task.stop();
  }

  /** Reports a failure, unless it comes from closing the client. */
  private report(failure: unknown): void {
    if (!this.task.store.isDisposed) this.options.reportFailure(failure);
  }

  private handle(message: ConfigurationMessage): void {
    switch (message.kind) {
      case ConfigurationMessageKind.LEARN:
        this.watch.learn(message.learned);
        break;
      case ConfigurationMessageKind.LEAVE:
        this.registration.leave();
        break;
      case ConfigurationMessageKind.REGISTRATION_EVENT:
        this.registration.handle(message);
        break;
      case ConfigurationMessageKind.LISTED:
      case ConfigurationMessageKind.WATCHED:
      case ConfigurationMessageKind.WATCH_EVENT:
        this.registration.observe(this.watch.handle(message));
    }
  }
}
