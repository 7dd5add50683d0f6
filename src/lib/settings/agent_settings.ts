/** Settings of `foxtailbay-agent`. */
import {
  describeCount,
  describeDuration,
  describeListener,
  describePeerAddress,
  describeSection,
  LOG_NODE,
  METRICS_NODE,
  PROCESS_NODE,
  SCHEMA_VERSION_NODE,
} from './settings_schema.js';
import type {
  ListenAddress,
  LogSettings,
  MetricsSettings,
  ProcessSettings,
  SettingsConflict,
  SettingsSchema,
} from './settings_schema.js';

/** Settings of an agent, with defaults filled in. */
export interface AgentSettings {
  readonly schemaVersion: number;
  readonly process: ProcessSettings;
  readonly listen: {
    /** HTTP listener for announcements of targets. */
    readonly targets: ListenAddress;
  };
  /** gRPC addresses of initial entries; others are discovered from them. */
  readonly entries: readonly string[];
  readonly target: {readonly leaseMs: number; readonly queueLimit: number};
  readonly permission: {
    /** Age in milliseconds at which evidence of permission expires. */
    readonly freshMs: number;
    readonly pingPeriodMs: number;
  };
  readonly stop: {readonly drainMs: number};
  readonly log: LogSettings;
  /** If absent, no metrics are sent. */
  readonly metrics?: MetricsSettings;
}

/** Schema of the settings file of an agent. */
export const AGENT_SETTINGS_SCHEMA: SettingsSchema<AgentSettings> = {
  kind: 'agent',
  root: describeSection(
    'Settings of `foxtailbay-agent`.',
    {
      schemaVersion: SCHEMA_VERSION_NODE,
      process: PROCESS_NODE,
      listen: describeSection(
        'Addresses on which the agent listens.',
        {
          targets: describeListener(
            'HTTP listener for announcements of targets.',
          ),
        },
        ['targets'],
      ),
      entries: {
        type: 'array',
        description:
          'gRPC addresses of initial entries; others are discovered from them.',
        minItems: 1,
        items: describePeerAddress('`host:port` of an entry.'),
      },
      target: describeSection('The target that the agent serves.', {
        leaseMs: describeDuration(
          'Time in milliseconds after which an announcement that is not renewed expires.',
          3000,
        ),
        queueLimit: describeCount(
          'Limit on tasks that wait at the agent for a slot of the target.',
          4,
          0,
        ),
      }),
      permission: describeSection(
        'Evidence that the data centre is in service.',
        {
          freshMs: describeDuration(
            'Age in milliseconds at which evidence expires.',
            4000,
          ),
          pingPeriodMs: describeDuration(
            'Time in milliseconds between two requests for evidence.',
            500,
          ),
        },
      ),
      stop: describeSection('The graceful stop.', {
        drainMs: describeDuration(
          'Time limit in milliseconds for finishing work.',
          30_000,
        ),
      }),
      log: LOG_NODE,
      metrics: METRICS_NODE,
    },
    ['schemaVersion', 'process', 'listen', 'entries'],
  ),
  complete: settings => settings,
  findConflicts: findLongPingPeriod,
};

function findLongPingPeriod(settings: AgentSettings): SettingsConflict[] {
  const {freshMs, pingPeriodMs} = settings.permission;
  if (2 * pingPeriodMs <= freshMs) return [];
  return [
    {
      path: ['permission', 'pingPeriodMs'],
      found: String(pingPeriodMs),
      allowed: `at most half of permission.freshMs (${freshMs})`,
    },
  ];
}
