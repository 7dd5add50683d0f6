/** The task that follows the configuration and keeps this entry registered. */
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

/** What the configuration task needs. */
export interface ConfigurationTaskOptions {
  /** The task owns this client and closes it when it stops. */
  readonly store: PlatformStore;
  readonly identity: ProcessIdentity;
  /** `host:port` at which others reach this entry's gRPC listener. */
  readonly address: string;
  /** Prefix of every key of foxtailbay in the store. */
  readonly prefix: string;
  readonly watchWaitMs: number;
  readonly callTimeoutMs: number;
  readonly leaseMs: number;
  /** Receives each newer view; the first call means that there is one. */
  readonly publishView: (view: ConfigurationView) => void;
  /** Receives each confirmation of the view, and each loss of contact once. */
  readonly publishEvidence: (evidence: ConfigurationEvidence) => void;
  /** Receives each version of a record that was not put in force. */
  readonly reportRecord: (report: RecordReport) => void;
  /** Receives each new state of this entry's registration. */
  readonly reportRegistration: (state: EntryRegistrationState) => void;
  /** Receives each failed call and each failure in the task itself. */
  readonly reportFailure: (failure: unknown) => void;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
}

/** Number of messages that may wait. */
const MAILBOX_CAPACITY = 256;

/** Places of the mailbox kept for the task's own replies and timers. */
const RESERVED_CAPACITY = 32;

/**
 * Owns the store's client: lists and watches the configuration, publishes it
 * with evidence of its freshness, and keeps this entry registered.
 *
 * Works through outages of the store by itself: calls are tried again after a
 * growing, jittered delay, and the last view stays in force meanwhile.
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
    const own = {
      ...options,
      post: (message: ConfigurationMessage) => void this.task.post(message),
      reportFailure: (failure: unknown) => this.report(failure),
    };
    this.task.store.add(() => options.store.close());
    this.watch = ConfigurationWatch.create(own);
    this.task.store.add(() => this.watch.stop());
    const {id, incarnation} = options.identity;
    this.registration = EntryRegistration.create({
      ...own,
      entry: {id, incarnation, address: options.address},
      reportState: options.reportRegistration,
    });
    this.task.store.add(() => this.registration.stop());
  }

  /** Creates the task; its first calls go out at once. */
  static create(options: ConfigurationTaskOptions): ConfigurationTask {
    return new ConfigurationTask(options);
  }

  /** Takes a request of another task. */
  readonly post: Post<ConfigurationRequest> = message => {
    const isCrowded = this.task.backlog >= MAILBOX_CAPACITY - RESERVED_CAPACITY;
    return isCrowded ? PostOutcome.FULL : this.task.post(message);
  };

  /** Ends the registration, stops following and closes the client. */
  async stop(): Promise<void> {
    await this.task.stop();
  }

  /** Tells of a failure, unless it comes from closing the client. */
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
