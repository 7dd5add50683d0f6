/** Schemas of settings files, and the sections common to both servers. */

/** The subset of JSON Schema that settings use. */
export interface SettingsNode {
  readonly type: 'object' | 'array' | 'string' | 'integer';
  /** Text for the settings reference. */
  readonly description: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly minLength?: number;
  readonly minItems?: number;
  readonly pattern?: string;
  /** Marks a secret, which is never printed. */
  readonly writeOnly?: boolean;
  readonly items?: SettingsNode;
  readonly properties?: Readonly<Record<string, SettingsNode>>;
  readonly required?: readonly string[];
  readonly additionalProperties?: false;
}

/** Two settings that are each valid but contradict each other. */
export interface SettingsConflict {
  /** Keys from the root to the setting to change. */
  readonly path: readonly string[];
  readonly found: string;
  readonly allowed: string;
}

/** Everything needed to read one kind of settings file. */
export interface SettingsSchema<T> {
  /** Name of the kind, as in `foxtailbay check-config --kind`. */
  readonly kind: string;
  readonly root: SettingsNode;
  /** Fills in defaults that depend on other settings. */
  readonly complete: (settings: T) => T;
  /** Lists settings that contradict each other. */
  readonly findConflicts: (settings: T) => readonly SettingsConflict[];
}

/** The schema version that this release writes and reads. */
export const SETTINGS_SCHEMA_VERSION = 1;

/** Log levels, from the most to the least verbose. */
export enum LogLevel {
  TRACE = 'trace',
  DEBUG = 'debug',
  INFO = 'info',
  WARN = 'warn',
  ERROR = 'error',
}

/** Address of a listener. */
export interface ListenAddress {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
}

/** Name and data centre of a process. */
export interface ProcessSettings {
  readonly id: string;
  readonly dataCentre: string;
}

/** Settings of the log. */
export interface LogSettings {
  readonly level: LogLevel;
}

/** Address of the StatsD server that receives metrics. */
export interface MetricsSettings {
  readonly host: string;
  readonly port: number;
}

const NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$';
const MIN_SECRET_LENGTH = 16;
const MAX_PORT = 65535;
const DEFAULT_METRICS_PORT = 8125;
/** Longest delay of a Node.js timer; longer delays overflow. */
const MAX_DURATION_MS = 2_147_483_647;

/** Describes a section: an object without additional keys. */
export function describeSection(
  description: string,
  properties: Readonly<Record<string, SettingsNode>>,
  required: readonly string[] = [],
): SettingsNode {
  const section: SettingsNode = {
    type: 'object',
    description,
    properties,
    required,
    additionalProperties: false,
  };
  return required.length > 0 ? section : {...section, default: {}};
}

/** Describes a section that has no default, and is undefined if absent. */
export function describeOptionalSection(
  description: string,
  properties: Readonly<Record<string, SettingsNode>>,
): SettingsNode {
  return {...describeSection(description, properties), default: undefined};
}

/** Describes a duration in milliseconds. */
export function describeDuration(
  description: string,
  defaultMs: number,
  minimum = 1,
): SettingsNode {
  return {
    type: 'integer',
    description,
    minimum,
    maximum: MAX_DURATION_MS,
    default: defaultMs,
  };
}

/** Describes a number of items or bytes. */
export function describeCount(
  description: string,
  defaultCount: number,
  minimum = 1,
): SettingsNode {
  return {type: 'integer', description, minimum, default: defaultCount};
}

/** Describes a secret that several processes share; it is never printed. */
export function describeSecret(description: string): SettingsNode {
  return {
    type: 'string',
    description,
    minLength: MIN_SECRET_LENGTH,
    writeOnly: true,
  };
}

/** Describes a `host:port` address of another process. */
export function describePeerAddress(description: string): SettingsNode {
  return {type: 'string', description, pattern: '^[^\\s/]+:[0-9]{1,5}$'};
}

/** Describes an address to listen on. */
export function describeListener(description: string): SettingsNode {
  return describeSection(
    description,
    {
      host: {type: 'string', description: 'IP address.', minLength: 1},
      port: {
        type: 'integer',
        description: 'TCP port; 0 selects a free one.',
        minimum: 0,
        maximum: MAX_PORT,
      },
    },
    ['host', 'port'],
  );
}

/** The setting `schemaVersion`. */
export const SCHEMA_VERSION_NODE: SettingsNode = {
  type: 'integer',
  description: 'Version of the schema that the file is written for.',
  enum: [SETTINGS_SCHEMA_VERSION],
};

/** The section `process`. */
export const PROCESS_NODE: SettingsNode = describeSection(
  'Name and data centre of the process.',
  {
    id: {
      type: 'string',
      description: 'Name of the process, the same after a restart.',
      pattern: NAME_PATTERN,
    },
    dataCentre: {
      type: 'string',
      description: 'Data centre in which the process runs.',
      pattern: NAME_PATTERN,
    },
  },
  ['id', 'dataCentre'],
);

/** The section `log`. */
export const LOG_NODE: SettingsNode = describeSection('Settings of the log.', {
  level: {
    type: 'string',
    description: 'Lowest level that is logged.',
    enum: Object.values(LogLevel),
    default: LogLevel.INFO,
  },
});

/** The section `metrics`. */
export const METRICS_NODE: SettingsNode = describeOptionalSection(
  'StatsD server that receives metrics; if absent, no metrics are sent.',
  {
    host: {
      type: 'string',
      description: 'IP address of the StatsD server.',
      minLength: 1,
      default: '127.0.0.1',
    },
    port: {
      type: 'integer',
      description: 'UDP port of the StatsD server.',
      minimum: 1,
      maximum: MAX_PORT,
      default: DEFAULT_METRICS_PORT,
    },
  },
);
