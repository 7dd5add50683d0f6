/** The task of an entry that owns the store's client. */
import type {DrawRandom, StartTimer} from '../../core/clock.js';
import type {ProcessIdentity} from '../../core/identity.js';
import {Task} from '../../core/task.js';
import {EntryRegistration} from '../../entry/entry_registration.js';
import type {RegistrationMessage} from '../../entry/configuration_message.js';
import {FleetEvent} from '../../observe/fleet_log.js';
import type {QueueForecasts} from '../../decisions/forecast_table.js';
import type {FleetLog} from '../../observe/fleet_log.js';
import type {PlatformStore} from '../../store/platform_store.js';
import {parseEntryAddress} from '../../records/build_view.js';
import type {EntryAddress} from '../../records/configuration_view.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import {
  ENTRIES_PREFIX,
  OWN_PREFIX,
  readAddresses,
} from '../registered_entries.js';
import {ForecastPersistence} from './forecast_persistence.js';
import {StoreWatch} from './store_watch.js';
import type {StoreMirror} from './store_watch.js';

/** Reads the operators' configuration out of the store's values. */
export type DecodeConfiguration = (
  mirror: StoreMirror,
) => FleetConfiguration | ConfigurationProblem;

/** Why the store's values cannot be used. */
export interface ConfigurationProblem {
  readonly problem: string;
}

/** What the task needs to be created. */
export interface FleetConfigurationTaskOptions {
  /** The task owns this client and closes it when it stops. */
  readonly store: PlatformStore;
  readonly identity: ProcessIdentity;
  /** Address by which agents reach this entry, `host:port`. */
  readonly address: string;
  /** Prefix of the operators' keys. */
  readonly operatorsPrefix: string;
  readonly decode: DecodeConfiguration;
  readonly publishConfiguration: (configuration: FleetConfiguration) => void;
  readonly publishEntries: (addresses: readonly string[]) => void;
  readonly publishForecasts: (forecasts: QueueForecasts) => void;
  readonly log: FleetLog;
  readonly reportFailure: (failure: unknown) => void;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
}

/** Lease in milliseconds of an entry's registration; renewed three times in it. */
const REGISTRATION_LEASE_MS = 6000;

/**
 * Longest wait in milliseconds of a call for the operators' changes. An open
 * connection may fall silent, so this and the grace bound how late a change is
 * seen then.
 */
const OPERATORS_WAIT_MS = 1000;

/** Longest wait in milliseconds of a call for the entries' addresses. */
const ENTRIES_WAIT_MS = 3000;

/** Time in milliseconds beyond its wait after which a call counts as lost. */
const CALL_GRACE_MS = 300;

const MAILBOX_CAPACITY = 1024;

type TaskCallback = () => void;

/** Follows the configuration and the entries, and keeps this one registered. */
export class FleetConfigurationTask {
  private readonly task: Task<TaskCallback>;
  private readonly registration: EntryRegistration;
  private readonly forecasts: ForecastPersistence;
  private hasContact: boolean | undefined;

  private constructor(private readonly options: FleetConfigurationTaskOptions) {
    this.task = Task.create<TaskCallback>({
      name: 'fleet configuration',
      capacity: MAILBOX_CAPACITY,
      handle: turn => turn(),
      reportFailure: options.reportFailure,
    });
    const {store, startTimer, drawRandom, identity} = options;
    const runInTask = (turn: TaskCallback) => void this.task.post(turn);
    const common = {
      store,
      startTimer,
      drawRandom,
      runInTask,
      graceMs: CALL_GRACE_MS,
    };
    this.task.store.add(() => store.close());
    const operators = StoreWatch.create({
      ...common,
      prefix: options.operatorsPrefix,
      waitMs: OPERATORS_WAIT_MS,
      publish: mirror => this.handleConfiguration(mirror),
      reportConnection: (hasContact, detail) =>
        this.reportConnection(hasContact, detail),
    });
    const entries = StoreWatch.create({
      ...common,
      prefix: ENTRIES_PREFIX,
      waitMs: ENTRIES_WAIT_MS,
      publish: mirror => this.handleEntries(mirror),
      reportConnection: () => undefined,
    });
    this.task.store.add(() => operators.stop());
    this.task.store.add(() => entries.stop());
    this.forecasts = ForecastPersistence.create({
      store,
      startTimer,
      runInTask,
      publish: options.publishForecasts,
      reportFailure: failure =>
        options.log(
          FleetEvent.FORECASTS_NOT_STORED,
          'The forecasts of work were not exchanged with the store.',
          {err: failure},
        ),
    });
    this.task.store.add(() => this.forecasts.stop());
    this.registration = EntryRegistration.create({
      store,
      startTimer,
      drawRandom,
      prefix: OWN_PREFIX,
      entry: {
        id: identity.id,
        incarnation: identity.incarnation,
        address: options.address,
      },
      leaseMs: REGISTRATION_LEASE_MS,
      post: (message: RegistrationMessage) =>
        runInTask(() => this.registration.handle(message)),
      reportState: () => undefined,
      reportFailure: () => undefined,
    });
    this.task.store.add(() => this.registration.stop());
  }

  /** Creates the task; its first calls go out at once. */
  static create(
    options: FleetConfigurationTaskOptions,
  ): FleetConfigurationTask {
    return new FleetConfigurationTask(options);
  }

  /** Takes what this entry has learned of its queues. */
  updateForecasts(forecasts: QueueForecasts): void {
    this.task.post(() => this.forecasts.update(forecasts));
  }

  /** Stops the watches, ends the lease and closes the client. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private handleConfiguration(mirror: StoreMirror): void {
    const decoded = this.options.decode(mirror);
    if ('problem' in decoded) {
      this.options.log(
        FleetEvent.CONFIGURATION_REJECTED,
        `The configuration is not used: ${decoded.problem}.`,
        {revision: mirror.revision},
      );
      return;
    }
    this.options.publishConfiguration(decoded);
  }

  private handleEntries(mirror: StoreMirror): void {
    this.options.publishEntries(readAddresses([...mirror.values.values()]));
    const {address, identity} = this.options;
    const {id, incarnation} = identity;
    const own = mirror.values.get(ENTRIES_PREFIX + id);
    const entries = new Map<string, EntryAddress>();
    if (own !== undefined) {
      entries.set(id, parseEntryAddress(own) ?? {id, incarnation, address});
    }
    this.registration.observe({entries, revision: mirror.revision});
  }

  private reportConnection(hasContact: boolean, detail: string): void {
    if (this.hasContact === hasContact) return;
    this.hasContact = hasContact;
    const event = hasContact
      ? FleetEvent.STORE_RECOVERED
      : FleetEvent.STORE_LOST;
    const text = hasContact
      ? 'The store answers.'
      : `The store is lost: ${detail}.`;
    this.options.log(event, text);
  }
}
