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

/** Decodes the operators' configuration from the values in the store. */
export type DecodeConfiguration = (
  mirror: StoreMirror,
) => FleetConfiguration | ConfigurationProblem;

/** Why the values in the store are no valid configuration. */
export interface ConfigurationProblem {
  readonly problem: string;
}

/** Settings, dependencies and callbacks of the task. */
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

/** Lease in milliseconds of an entry's registration; renewed three times per lease. */
const REGISTRATION_LEASE_MS = 6000;

/**
 * Maximum wait in milliseconds of a watch call for the operators' changes. An
 * open connection may stop delivering; a change is then seen late by at most this
 * time plus `CALL_GRACE_MS`.
 */
const OPERATORS_WAIT_MS = 1000;

/** Maximum wait in milliseconds of a watch call for the entries' addresses. */
const ENTRIES_WAIT_MS = 3000;

/** Time in milliseconds beyond its wait after which a call counts as failed. */
const CALL_GRACE_MS = 300;

const MAILBOX_CAPACITY = 1024;

type TaskCallback = () => void;

/** Watches the configuration and the entries, and keeps this entry registered. */
export class FleetConfigurationTask {
  private readonly task: Task<TaskCallback>;
  private readonly registration: EntryRegistration;
  private readonly forecasts: ForecastPersistence;
  private isConnected: boolean | undefined;

  private constructor(private readonly options: FleetConfigurationTaskOptions) {
    this.task = Task.create<TaskCallback>({
      name: 'fleet configuration',
      capacity: MAILBOX_CAPACITY,
      handle: callback => callback(),
      reportFailure: options.reportFailure,
    });
    const {store, startTimer, drawRandom, identity} = options;
    const runInTask = (callback: TaskCallback) => void this.task.post(callback);
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
      reportConnection: (isConnected, detail) =>
        this.reportConnection(isConnected, detail),
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
          'Work forecasts could not be read from or written to the store.',
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

  /** Creates the task and sends its first calls to the store. */
  static create(
    options: FleetConfigurationTaskOptions,
  ): FleetConfigurationTask {
    return new FleetConfigurationTask(options);
  }

  /** Replaces the forecasts that this entry has learned, to be stored. */
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
        `The configuration is rejected: ${decoded.problem}.`,
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
    const ownRegistration = mirror.values.get(ENTRIES_PREFIX + id);
    // The registration checks only its own entry.
    const entries = new Map<string, EntryAddress>();
    if (ownRegistration !== undefined) {
      entries.set(
        id,
        parseEntryAddress(ownRegistration) ?? {id, incarnation, address},
      );
    }
    this.registration.observe({entries, revision: mirror.revision});
  }

  private reportConnection(isConnected: boolean, detail: string): void {
    if (this.isConnected === isConnected) return;
    this.isConnected = isConnected;
    const event = isConnected
      ? FleetEvent.STORE_RECOVERED
      : FleetEvent.STORE_LOST;
    const text = isConnected
      ? 'The store is reachable.'
      : `The store is unreachable: ${detail}.`;
    this.options.log(event, text);
  }
}
