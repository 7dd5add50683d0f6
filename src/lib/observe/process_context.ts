/** What every server makes of its settings before it starts. */
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

/** The sections of a settings file that all servers share. */
export interface CommonSettings {
  readonly process: ProcessSettings;
  readonly log: LogSettings;
  readonly metrics?: MetricsSettings;
}

/** The identity of one life of a process, its log and its metrics. */
export interface ProcessContext {
  readonly identity: ProcessIdentity;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Creates the parts.
 *
 * @param role Ends the program's name and begins its metrics, as in
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
