/** Schemas of settings files, and the parts that both servers share. */

/** The part of JSON Schema that settings use. */
export interface SettingsNode {
  readonly type: 'object' | 'array' | 'string' | 'integer';
  /** What the setting does, for the settings reference. */
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

/** Two settings that are each valid but do not go together. */
export interface SettingsConflict {
  /** Keys that lead to the setting to change. */
  readonly path: readonly string[];
  readonly found: string;
  readonly allowed: string;
}

/** Everything needed to read one kind of settings file. */
export interface SettingsSchema<T> {
  /** Name of the kind, as in `foxtailbay check-config --kind`. */
  readonly kind: string;
  readonly root: SettingsNode;
  /** Fills in what depends on other settings. */
  readonly complete: (settings: T) => T;
  /** Lists settings that do not go together. */
  readonly findConflicts: (settings: T) => readonly SettingsConflict[];
}

/** The schema version that this release writes and reads. */
export const SETTINGS_SCHEMA_VERSION = 1;

/** Levels of the log, from the most to the least talkative. */
export enum LogLevel {
  TRACE = 'trace',
  DEBUG = 'debug',
  INFO = 'info',
  WARN = 'warn',
  ERROR = 'error',
}

/** Where a process listens. */
export interface ListenAddress {
  readonly host: string;
  /** 0 lets the host choose a free port. */
  readonly port: number;
}

/** Name and place of a process. */
export interface ProcessSettings {
  readonly id: string;
  readonly dataCentre: string;
}

/** What the log holds. */
export interface LogSettings {
  readonly level: LogLevel;
}

/** Where metrics are sent. */
export interface MetricsSettings {
  readonly host: string;
  readonly port: number;
}

const NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$';
const SHORTEST_SECRET = 16;
const LARGEST_PORT = 65535;
const METRICS_PORT = 8125;
/** Timers of Node.js wrap around above this. */
const LONGEST_DURATION_MS = 2_147_483_647;

/** Describes a section: an object that takes no other keys. */
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

/** Describes a section that stays absent when the file does not have it. */
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
    maximum: LONGEST_DURATION_MS,
    default: defaultMs,
  };
}

/** Describes a number of things or bytes. */
export function describeCount(
  description: string,
  defaultCount: number,
  minimum = 1,
): SettingsNode {
  return {type: 'integer', description, minimum, default: defaultCount};
}

/** Describes a secret that several processes share. */
export function describeSecret(description: string): SettingsNode {
  return {
    type: 'string',
    description,
    minLength: SHORTEST_SECRET,
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
      host: {type: 'string', description: 'IP number.', minLength: 1},
      port: {
        type: 'integer',
        description: 'TCP port; 0 lets the host choose a free one.',
        minimum: 0,
        maximum: LARGEST_PORT,
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
  'Name and place of the process.',
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
export const LOG_NODE: SettingsNode = describeSection('What the log holds.', {
  level: {
    type: 'string',
    description: 'Least important level that is logged.',
    enum: Object.values(LogLevel),
    default: LogLevel.INFO,
  },
});

/** The section `metrics`. */
export const METRICS_NODE: SettingsNode = describeOptionalSection(
  'Where metrics are sent, in the StatsD protocol; absent: no metrics.',
  {
    host: {
      type: 'string',
      description: 'IP number of the StatsD server.',
      minLength: 1,
      default: '127.0.0.1',
    },
    port: {
      type: 'integer',
      description: 'UDP port of the StatsD server.',
      minimum: 1,
      maximum: LARGEST_PORT,
      default: METRICS_PORT,
    },
  },
);
