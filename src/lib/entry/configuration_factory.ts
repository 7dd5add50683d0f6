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

/** What a configuration task needs beside the settings. */
export interface ConfigurationDependencies {
  readonly identity: ProcessIdentity;
  readonly reports: EntryReporter;
  readonly publishView: (view: ConfigurationView) => void;
  readonly publishEvidence: (evidence: ConfigurationEvidence) => void;
}

/** Creates the task with a store client of its own. */
export function createConfigurationTask(
  settings: EntrySettings,
  parts: ConfigurationDependencies,
): ConfigurationTask {
  const {store, advertise} = settings;
  return ConfigurationTask.create({
    store: HttpPlatformStore.create(store),
    identity: parts.identity,
    address: advertise.peers,
    prefix: store.prefix,
    watchWaitMs: store.watchWaitMs,
    callTimeoutMs: store.callTimeoutMs,
    leaseMs: store.leaseMs,
    publishView: parts.publishView,
    publishEvidence: parts.publishEvidence,
    reportRecord: parts.reports.reportRecord,
    reportRegistration: () => undefined,
    reportFailure: parts.reports.reportStoreFailure,
    readMonotonicMs,
    startTimer,
    drawRandom: Math.random,
  });
}
