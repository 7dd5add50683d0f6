/** Schemas of the records' bodies, one for each kind and schema version. */
import {Ajv} from 'ajv';
import type {ValidateFunction} from 'ajv';
import {RecordKind, ServiceState} from './record.js';
import type {
  ConfigurationRecord,
  DataCentreSpecification,
  TaskClassSpecification,
  TeamSpecification,
} from './record.js';

const LONGEST_TIME_MS = 86_400_000;
const GREATEST_NUMBER = 1_000_000_000;

const COUNT = {type: 'number', minimum: 0, maximum: GREATEST_NUMBER};
const SHARE = {type: 'number', exclusiveMinimum: 0, maximum: 1_000_000};
const TIME_MS = {type: 'number', minimum: 1, maximum: LONGEST_TIME_MS};

/** Brings a valid specification of one version to the newest shape. */
type Upgrade = (name: string, specification: unknown) => ConfigurationRecord;

/** How one kind is read at one schema version. */
export interface RecordReader {
  readonly kind: RecordKind;
  readonly schemaVersion: number;
  readonly validate: ValidateFunction;
  readonly upgrade: Upgrade;
}

interface TeamSpecificationVersion0 {
  readonly share: number;
  readonly slotsAtMost?: number;
  readonly tasksPerSecondAtMost?: number;
}

// Verbose errors carry the value that was found, which operators are told.
const ajv = new Ajv({allErrors: true, verbose: true});

function compileObject(
  properties: Record<string, object>,
  required: readonly string[] = Object.keys(properties),
): ValidateFunction {
  return ajv.compile({
    type: 'object',
    additionalProperties: false,
    required,
    properties,
  });
}

function upgradeTeamVersion0(
  name: string,
  specification: unknown,
): ConfigurationRecord {
  const old = specification as TeamSpecificationVersion0;
  return {
    kind: RecordKind.TEAM,
    name,
    specification: {
      weight: old.share,
      slotsAtMost: old.slotsAtMost ?? 0,
      tasksPerSecondAtMost: old.tasksPerSecondAtMost ?? 0,
    },
  };
}

const READERS: readonly RecordReader[] = [
  {
    kind: RecordKind.DATA_CENTRE,
    schemaVersion: 1,
    validate: compileObject({service: {enum: Object.values(ServiceState)}}),
    upgrade: (name, specification) => ({
      kind: RecordKind.DATA_CENTRE,
      name,
      specification: specification as DataCentreSpecification,
    }),
  },
  {
    kind: RecordKind.TEAM,
    schemaVersion: 0,
    validate: compileObject(
      {share: SHARE, slotsAtMost: COUNT, tasksPerSecondAtMost: COUNT},
      ['share'],
    ),
    upgrade: upgradeTeamVersion0,
  },
  {
    kind: RecordKind.TEAM,
    schemaVersion: 1,
    validate: compileObject({
      weight: SHARE,
      slotsAtMost: COUNT,
      tasksPerSecondAtMost: COUNT,
    }),
    upgrade: (name, specification) => ({
      kind: RecordKind.TEAM,
      name,
      specification: specification as TeamSpecification,
    }),
  },
  {
    kind: RecordKind.TASK_CLASS,
    schemaVersion: 1,
    validate: compileObject({
      deadlineMs: TIME_MS,
      runWithinMs: TIME_MS,
      value: SHARE,
    }),
    upgrade: (name, specification) => ({
      kind: RecordKind.TASK_CLASS,
      name,
      specification: specification as TaskClassSpecification,
    }),
  },
];

/** Finds how a kind is read at a schema version; undefined if it is not. */
export function findReader(
  kind: RecordKind,
  schemaVersion: number,
): RecordReader | undefined {
  return READERS.find(
    reader => reader.kind === kind && reader.schemaVersion === schemaVersion,
  );
}

/** Lists the schema versions at which a kind is read. */
export function listSchemaVersions(kind: RecordKind): readonly number[] {
  return READERS.filter(reader => reader.kind === kind).map(
    reader => reader.schemaVersion,
  );
}

/** Describes each mistake that the last validation found, in one line. */
export function describeMistakes(validate: ValidateFunction): string {
  const mistakes = (validate.errors ?? []).map(error => {
    const path = `spec${error.instancePath}`;
    const allowed = JSON.stringify(
      error.params.allowedValues ?? error.params.additionalProperty,
    );
    const hint = allowed === undefined ? '' : ` (${allowed})`;
    return `${path} ${error.message}${hint}`;
  });
  return mistakes.join('; ');
}
