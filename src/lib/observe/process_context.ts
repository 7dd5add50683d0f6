/** Identity, log and metrics of a server, created from its settings. */
import {createIdentity} from '../core/identity.js';
import type {ProcessIdentity} from '../core/identity.js';
import type {
  LogSettings,
  MetricsSettings,
  ProcessSettings,
} from '../settings/settings_schema.js';
import {LogLevel} from '../settings/settings_schema.js';
import {createLog, LogEvent} from './log.js';
import type {Log} from './log.js';
import {createMetrics} from './metrics.js';
import type {Metrics} from './metrics.js';

/** Sections of a settings file that are common to all servers. */
export interface CommonSettings {
  readonly process: ProcessSettings;
  readonly log: LogSettings;
  readonly metrics?: MetricsSettings;
}

/** Identity, log and metrics of a process. */
export interface ProcessContext {
  readonly identity: ProcessIdentity;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Creates the context of a process with a new incarnation.
 *
 * @param role Suffix of the program's name and prefix of its metrics, as in
 *     `foxtailbay-entry` and `foxtailbay.entry.`.
 */
export async function createProcessContext(
  role: string,
  settings: CommonSettings,
): Promise<ProcessContext> {
  const {id, dataCentre} = settings.process;
  const identity = createIdentity(id, dataCentre);
  const log = await createLog({
    program: `foxtailbay-${role}`,
    identity,
    level: settings.log.level,
  });
  const metrics = await createMetrics({
    settings: settings.metrics,
    prefix: `foxtailbay.${role}.`,
    identity,
    reportFailure: failure =>
      log.write(LogLevel.WARN, LogEvent.METRICS_FAILED, failure.message),
  });
  return {identity, log, metrics};
}
