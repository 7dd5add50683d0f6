/** Settings of `foxtailbay-load` and their schema. */
import {PlacementKind} from '../../src/lib/decisions/choose_agent.js';
import {JobOrder} from '../../src/lib/decisions/rank_job.js';
import {
  describeCount,
  describeDuration,
  describeSection,
  SCHEMA_VERSION_NODE,
} from '../../src/lib/settings/settings_schema.js';
import type {
  SettingsNode,
  SettingsSchema,
} from '../../src/lib/settings/settings_schema.js';

/** Kinds of event that change the fleet or the load during a run. */
export enum LoadEventKind {
  DATA_CENTRE_OUT = 'data-centre-out',
  DATA_CENTRE_IN = 'data-centre-in',
  TARGET_FAILS = 'target-fails',
  TARGET_HANGS = 'target-hangs',
  TARGET_RECOVERS = 'target-heals',
  KILL_TARGET = 'kill-target',
  START_TARGET = 'start-target',
  KILL_AGENT = 'kill-agent',
  START_AGENT = 'start-agent',
  KILL_ENTRY = 'kill-entry',
  STOP_ENTRY = 'stop-entry',
  START_ENTRY = 'start-entry',
  STORE_DOWN = 'store-down',
  STORE_UP = 'store-up',
  CANCEL_JOBS = 'cancel-jobs',
}

/** One scheduled event of a run. */
export interface LoadEvent {
  /** Time since the start of the load, warm-up included. */
  readonly atMs: number;
  readonly kind: LoadEventKind;
  /** Data centre, number of the process from 0, or percentage of jobs. */
  readonly subject: string;
}

/** A range of integers, selected with a probability proportional to `share`. */
export interface WeightedRange {
  readonly share: number;
  readonly from: number;
  readonly to: number;
}

/** One team of callers and its share of the jobs. */
export interface TeamSettings {
  readonly name: string;
  readonly share: number;
  readonly weight: number;
  readonly value: number;
}

/** A period with an arrival rate above or below the base rate. */
export interface LoadPhase {
  readonly atMs: number;
  readonly untilMs: number;
  /** Arrival rate relative to `load.utilisationPercent`. */
  readonly factorPercent: number;
}

/** Number and properties of the processes to start. */
export interface FleetSettings {
  readonly dataCentres: readonly string[];
  readonly entries: number;
  readonly targets: number;
  readonly slots: number;
  readonly connections: number;
  /** Run time on each target relative to the nominal one; the list repeats. */
  readonly slownessPercent: readonly number[];
  readonly agentQueueLimit: number;
}

/** Contents of the settings file of a load. */
export interface LoadSettings {
  readonly schemaVersion: number;
  readonly name: string;
  readonly seed: number;
  readonly repeats: number;
  readonly policies: readonly PlacementKind[];
  readonly orders: readonly JobOrder[];
  readonly warmUpMs: number;
  readonly durationMs: number;
  /** Time to wait for responses after the last arrival. */
  readonly drainMs: number;
  readonly fleet: FleetSettings;
  readonly network: {
    readonly callerOneWayMs: number;
    /** Between entries and agents; with 0 there are no relays. */
    readonly agentOneWayMs: number;
  };
  readonly load: {
    readonly utilisationPercent: number;
    readonly deadlineMs: number;
    /** Maximum factor by which a declared run time differs from the actual one. */
    readonly declaredErrorFactor: number;
    readonly jobSizes: readonly WeightedRange[];
    readonly runTimesMs: readonly WeightedRange[];
    readonly teams: readonly TeamSettings[];
    readonly phases: readonly LoadPhase[];
  };
  readonly events: readonly LoadEvent[];
}

const PERCENT = 100;

const SHARE_NODE: SettingsNode = {
  type: 'integer',
  description: 'Relative weight within the list.',
  minimum: 0,
};

const RANGES_NODE: SettingsNode = {
  type: 'array',
  description:
    'Ranges; one is drawn by share, then a value uniformly within it.',
  minItems: 1,
  items: describeSection(
    'One range.',
    {
      share: SHARE_NODE,
      from: describeCount('Minimum.', 1),
      to: describeCount('Maximum.', 1),
    },
    ['share', 'from', 'to'],
  ),
};

const TEAMS_NODE: SettingsNode = {
  type: 'array',
  description: 'Teams of callers.',
  minItems: 1,
  items: describeSection(
    'One team.',
    {
      name: {type: 'string', description: 'Name.'},
      share: SHARE_NODE,
      weight: describeCount('Weight of its record.', 1),
      value: describeCount('Value of each of its jobs.', 1),
    },
    ['name', 'share'],
  ),
};

const PHASES_NODE: SettingsNode = {
  type: 'array',
  description: 'Periods of higher or lower load.',
  default: [],
  items: describeSection(
    'One phase.',
    {
      atMs: describeDuration('Start.', 0, 0),
      untilMs: describeDuration('End.', 1),
      factorPercent: describeCount(
        'Arrival rate relative to the base rate.',
        PERCENT,
      ),
    },
    ['atMs', 'untilMs', 'factorPercent'],
  ),
};

const EVENTS_NODE: SettingsNode = {
  type: 'array',
  description: 'Scheduled events.',
  default: [],
  items: describeSection(
    'One event.',
    {
      atMs: describeDuration('Time since the start of the load.', 0, 0),
      kind: {
        type: 'string',
        description: 'Kind of event.',
        enum: Object.values(LoadEventKind),
      },
      subject: {
        type: 'string',
        description: 'Data centre, number of a process from 0, or percentage.',
        default: '',
      },
    },
    ['atMs', 'kind'],
  ),
};

const FLEET_NODE = describeSection('The processes that are started.', {
  dataCentres: {
    type: 'array',
    description: 'Names; entries and targets are assigned to them round-robin.',
    items: {type: 'string', description: 'Name.'},
    minItems: 1,
    default: ['vn-south-a', 'vn-south-b', 'vn-south-c', 'vn-south-d'],
  },
  entries: describeCount('Entries.', 2),
  targets: describeCount('Targets, each with its agent.', 10),
  slots: describeCount('Slots of a target.', 8),
  connections: describeCount('Connections of a target.', 64),
  slownessPercent: {
    type: 'array',
    description:
      'Run time on each target relative to nominal; the list repeats.',
    items: {type: 'integer', description: 'Percent.', minimum: 1},
    minItems: 1,
    default: [PERCENT],
  },
  agentQueueLimit: describeCount('Tasks that may wait at an agent.', 4, 0),
});

const LOAD_NODE = describeSection('What the callers submit.', {
  utilisationPercent: describeCount('Offered work relative to capacity.', 70),
  deadlineMs: describeDuration('Deadline of each job.', 30_000),
  declaredErrorFactor: describeCount(
    'Maximum error factor of declared run times.',
    10,
  ),
  jobSizes: {
    ...RANGES_NODE,
    default: [
      {share: 600, from: 1, to: 4},
      {share: 300, from: 5, to: 20},
      {share: 97, from: 21, to: 100},
      {share: 3, from: 101, to: 580},
    ],
  },
  runTimesMs: {
    ...RANGES_NODE,
    default: [
      {share: 97, from: 50, to: 1000},
      {share: 3, from: 2000, to: 5000},
    ],
  },
  teams: {
    ...TEAMS_NODE,
    default: [{name: 'listings', share: 1, weight: 1, value: 1}],
  },
  phases: PHASES_NODE,
});

/** Schema of the settings file of a load. */
export const LOAD_SETTINGS_SCHEMA: SettingsSchema<LoadSettings> = {
  kind: 'load',
  root: describeSection(
    'Settings of `foxtailbay-load`.',
    {
      schemaVersion: SCHEMA_VERSION_NODE,
      name: {type: 'string', description: 'Name of the experiment.'},
      seed: describeCount('Seed of the first run; later runs add 1.', 1),
      repeats: describeCount('Runs of each policy.', 1),
      policies: {
        type: 'array',
        description: 'Policies to compare.',
        items: {
          type: 'string',
          description: 'Policy.',
          enum: Object.values(PlacementKind),
        },
        minItems: 1,
        default: [PlacementKind.LEAST_LOADED],
      },
      orders: {
        type: 'array',
        description: 'Orders of jobs to compare.',
        items: {
          type: 'string',
          description: 'Order.',
          enum: Object.values(JobOrder),
        },
        minItems: 1,
        default: [JobOrder.STRETCH],
      },
      warmUpMs: describeDuration('Load before measurement starts.', 3000, 0),
      durationMs: describeDuration('Load that is measured.', 10_000),
      drainMs: describeDuration('Time to wait for the last responses.', 40_000),
      fleet: FLEET_NODE,
      network: describeSection('One-way network delays.', {
        callerOneWayMs: describeCount('From caller to entry.', 3, 0),
        agentOneWayMs: describeCount('From entry to agent.', 1, 0),
      }),
      load: LOAD_NODE,
      events: EVENTS_NODE,
    },
    ['schemaVersion', 'name'],
  ),
  complete: settings => settings,
  findConflicts: () => [],
};
