/** Settings of `foxtailbay-entry`. */
import {PlacementKind} from '../decisions/choose_agent.js';
import {JobOrder} from '../decisions/rank_job.js';
import {
  describeCount,
  describeDuration,
  describeListener,
  describePeerAddress,
  describeSecret,
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

/** The listeners of an entry. */
export interface EntryListenSettings {
  /** HTTP for callers. */
  readonly callers: ListenAddress;
  /** gRPC for agents and other entries. */
  readonly peers: ListenAddress;
  /** HTTP for operators. */
  readonly administration: ListenAddress;
}

/** Connection to the platform's store. */
export interface StoreSettings {
  readonly address: string;
  readonly prefix: string;
  readonly callTimeoutMs: number;
  readonly watchWaitMs: number;
  readonly leaseMs: number;
}

/** Limits on the sessions and stored answers of an entry. */
export interface SessionSettings {
  readonly secret: string;
  readonly lifetimeMs: number;
  readonly keysAtMost: number;
  readonly answerBytesAtMost: number;
}

/** Limits on the requests and jobs that an entry accepts. */
export interface LimitSettings {
  readonly bodyBytes: number;
  readonly resultBytes: number;
  readonly tasksPerJob: number;
  readonly waitingTasksAtMost: number;
  readonly jobsAtMost: number;
}

/** Settings of an entry, with defaults filled in. */
export interface EntrySettings {
  readonly schemaVersion: number;
  readonly process: ProcessSettings;
  readonly listen: EntryListenSettings;
  /** Address at which other processes reach `listen.peers`. */
  readonly advertise: {readonly peers: string};
  readonly store: StoreSettings;
  readonly sessions: SessionSettings;
  readonly limits: LimitSettings;
  readonly placement: {
    readonly policy: PlacementKind;
    /** Order of the jobs of one team. */
    readonly order: JobOrder;
  };
  readonly agents: {readonly returnLimitMs: number};
  readonly administration: {readonly key: string};
  readonly stop: {readonly noticeMs: number; readonly drainMs: number};
  readonly log: LogSettings;
  /** If absent, no metrics are sent. */
  readonly metrics?: MetricsSettings;
}

const MEBIBYTE = 1_048_576;
const HOUR_MS = 3_600_000;

const LISTEN_NODE = describeSection(
  'Addresses on which the entry listens.',
  {
    callers: describeListener('HTTP for callers.'),
    peers: describeListener('gRPC for agents and other entries.'),
    administration: describeListener('HTTP for operators.'),
  },
  ['callers', 'peers', 'administration'],
);

const STORE_NODE = describeSection(
  "The platform's key-value service.",
  {
    address: {
      type: 'string',
      description: 'Base URL of the service.',
      pattern: '^https?://[^\\s/]+/?$',
    },
    prefix: {
      type: 'string',
      description: 'Prefix of all keys that foxtailbay uses.',
      pattern: '^/(\\S*/)?$',
      default: '/foxtailbay/',
    },
    callTimeoutMs: describeDuration(
      'Time limit in milliseconds for one call.',
      1500,
    ),
    watchWaitMs: describeDuration(
      'Longest time in milliseconds that the service holds a watch open without a change.',
      1000,
    ),
    leaseMs: describeDuration(
      "Lease in milliseconds of this entry's registration, which is removed when the lease ends.",
      10_000,
    ),
  },
  ['address'],
);

const SESSIONS_NODE = describeSection(
  'Idempotency keys and the answers stored for them.',
  {
    secret: describeSecret('Signs session tokens; the same on all entries.'),
    lifetimeMs: describeDuration(
      'Lifetime of a session in milliseconds.',
      HOUR_MS,
    ),
    keysAtMost: describeCount(
      'Limit on keys stored for all sessions together.',
      200_000,
    ),
    answerBytesAtMost: describeCount(
      'Limit in bytes on answers stored for all sessions together.',
      64 * MEBIBYTE,
    ),
  },
  ['secret'],
);

const LIMITS_NODE = describeSection(
  'Limits on the requests and jobs that the entry accepts.',
  {
    bodyBytes: describeCount(
      'Limit in bytes on the body of a request.',
      4 * MEBIBYTE,
    ),
    resultBytes: describeCount(
      'Limit in bytes on the result of one task.',
      MEBIBYTE,
    ),
    tasksPerJob: describeCount('Limit on the tasks of one job.', 5000),
    waitingTasksAtMost: describeCount(
      'Limit on tasks waiting at this entry.',
      100_000,
    ),
    jobsAtMost: describeCount(
      'Limit on jobs running or waiting at this entry.',
      20_000,
    ),
  },
);

const PLACEMENT_NODE = describeSection('Placement of tasks.', {
  policy: {
    type: 'string',
    description: 'Policy that chooses the target of a task.',
    enum: Object.values(PlacementKind),
    default: PlacementKind.LEAST_LOADED,
  },
  order: {
    type: 'string',
    description:
      'Order of the jobs of one team: `stretch` to keep response times near the ideal, `value` to maximize the value delivered per unit of work, `deadline` or `arrival`.',
    enum: Object.values(JobOrder),
    default: JobOrder.STRETCH,
  },
});

/** Schema of the settings file of an entry. */
export const ENTRY_SETTINGS_SCHEMA: SettingsSchema<EntrySettings> = {
  kind: 'entry',
  root: describeSection(
    'Settings of `foxtailbay-entry`.',
    {
      schemaVersion: SCHEMA_VERSION_NODE,
      process: PROCESS_NODE,
      listen: LISTEN_NODE,
      advertise: describeSection(
        'Address at which other processes reach this entry.',
        {
          peers: describePeerAddress(
            '`host:port` at which other processes reach `listen.peers`; if absent, the address listened on.',
          ),
        },
      ),
      store: STORE_NODE,
      sessions: SESSIONS_NODE,
      limits: LIMITS_NODE,
      placement: PLACEMENT_NODE,
      agents: describeSection('Connections of agents.', {
        returnLimitMs: describeDuration(
          'Time in milliseconds within which a broken stream may be resumed.',
          5000,
        ),
      }),
      administration: describeSection(
        'The administration API.',
        {key: describeSecret('Bearer key that operators send.')},
        ['key'],
      ),
      stop: describeSection('The graceful stop.', {
        noticeMs: describeDuration(
          'Time in milliseconds for which new work is still accepted until the load balancer detects the stop.',
          500,
          0,
        ),
        drainMs: describeDuration(
          'Time limit in milliseconds for finishing work.',
          30_000,
        ),
      }),
      log: LOG_NODE,
      metrics: METRICS_NODE,
    },
    [
      'schemaVersion',
      'process',
      'listen',
      'store',
      'sessions',
      'administration',
    ],
  ),
  complete: completeAdvertisedAddress,
  findConflicts: settings => [
    ...findSharedPorts(settings),
    ...findShortLease(settings),
  ],
};

function completeAdvertisedAddress(settings: EntrySettings): EntrySettings {
  const {host, port} = settings.listen.peers;
  return {
    ...settings,
    advertise: {peers: settings.advertise.peers ?? `${host}:${port}`},
  };
}

function findSharedPorts(settings: EntrySettings): SettingsConflict[] {
  const listeners = Object.entries(settings.listen) as Array<
    [string, ListenAddress]
  >;
  return listeners.flatMap(([name, address], index) => {
    const other = listeners
      .slice(0, index)
      .find(([, earlier]) => isSameListener(earlier, address));
    if (other === undefined) return [];
    return [
      {
        path: ['listen', name, 'port'],
        found: `${address.port}, the same as listen.${other[0]}`,
        allowed: 'a port of its own',
      },
    ];
  });
}

function isSameListener(one: ListenAddress, other: ListenAddress): boolean {
  return one.port !== 0 && one.port === other.port && one.host === other.host;
}

function findShortLease(settings: EntrySettings): SettingsConflict[] {
  const {leaseMs, callTimeoutMs} = settings.store;
  if (leaseMs > 2 * callTimeoutMs) return [];
  return [
    {
      path: ['store', 'leaseMs'],
      found: String(leaseMs),
      allowed: `more than twice store.callTimeoutMs (${callTimeoutMs})`,
    },
  ];
}
