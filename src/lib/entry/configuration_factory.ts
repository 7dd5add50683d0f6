/** Creates the configuration task of an entry from its settings. */
import {readMonotonicMs, startTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import {HttpPlatformStore} from '../store/http_platform_store.js';
import type {
  ConfigurationEvidence,
  ConfigurationView,
} from '../records/configuration_view.js';
import type {EntrySettings} from '../settings/entry_settings.js';
import {ConfigurationTask} from './configuration_task.js';
import type {EntryReporter} from './entry_reporter.js';

/** Dependencies of a configuration task that do not come from the settings. */
export interface ConfigurationDependencies {
  readonly identity: ProcessIdentity;
  readonly reporter: EntryReporter;
  readonly publishView: (view: ConfigurationView) => void;
  readonly publishEvidence: (evidence: ConfigurationEvidence) => void;
}

/** Creates the task with its own store client. */
export function createConfigurationTask(
  settings: EntrySettings,
  dependencies: ConfigurationDependencies,
): ConfigurationTask {
  const {store, advertise} = settings;
  return ConfigurationTask.create({
    store: HttpPlatformStore.create(store),
    identity: dependencies.identity,
    address: advertise.peers,
    prefix: store.prefix,
    watchWaitMs: store.watchWaitMs,
    callTimeoutMs: store.callTimeoutMs,
    leaseMs: store.leaseMs,
    publishView: dependencies.publishView,
    publishEvidence: dependencies.publishEvidence,
    reportRecord: dependencies.reporter.reportRecord,
    reportRegistration: () => undefined,
    reportFailure: dependencies.reporter.reportStoreFailure,
    readMonotonicMs,
    startTimer,
    drawRandom: Math.random,
  });
}
