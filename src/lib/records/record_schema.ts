/** JSON schemas of record specifications, one for each kind and schema version. */
import {Ajv} from 'ajv';
import type {ValidateFunction} from 'ajv';
import {RecordKind, ServiceState} from './record.js';
import type {
  ConfigurationRecord,
  DataCentreSpecification,
  TaskClassSpecification,
  TeamSpecification,
} from './record.js';

const MAX_DURATION_MS = 86_400_000;
const MAX_COUNT = 1_000_000_000;

const COUNT = {type: 'number', minimum: 0, maximum: MAX_COUNT};
const POSITIVE_NUMBER = {
  type: 'number',
  exclusiveMinimum: 0,
  maximum: 1_000_000,
};
const DURATION_MS = {type: 'number', minimum: 1, maximum: MAX_DURATION_MS};

/** Converts a valid specification of one schema version to the newest. */
type Upgrade = (name: string, specification: unknown) => ConfigurationRecord;

/** Validator and upgrade of one kind at one schema version. */
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

// Verbose errors carry the value that was found, for reports to operators.
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
      {share: POSITIVE_NUMBER, slotsAtMost: COUNT, tasksPerSecondAtMost: COUNT},
      ['share'],
    ),
    upgrade: upgradeTeamVersion0,
  },
  {
    kind: RecordKind.TEAM,
    schemaVersion: 1,
    validate: compileObject({
      weight: POSITIVE_NUMBER,
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
      deadlineMs: DURATION_MS,
      runWithinMs: DURATION_MS,
      value: POSITIVE_NUMBER,
    }),
    upgrade: (name, specification) => ({
      kind: RecordKind.TASK_CLASS,
      name,
      specification: specification as TaskClassSpecification,
    }),
  },
];

/** Finds the reader of a kind and schema version; undefined if not supported. */
export function findReader(
  kind: RecordKind,
  schemaVersion: number,
): RecordReader | undefined {
  return READERS.find(
    reader => reader.kind === kind && reader.schemaVersion === schemaVersion,
  );
}

/** Lists the supported schema versions of a kind. */
export function listSchemaVersions(kind: RecordKind): readonly number[] {
  return READERS.filter(reader => reader.kind === kind).map(
    reader => reader.schemaVersion,
  );
}

/** Formats the violations of the last validation as one line. */
export function describeViolations(validate: ValidateFunction): string {
  const violations = (validate.errors ?? []).map(error => {
    const path = `spec${error.instancePath}`;
    const allowed = JSON.stringify(
      error.params.allowedValues ?? error.params.additionalProperty,
    );
    const hint = allowed === undefined ? '' : ` (${allowed})`;
    return `${path} ${error.message}${hint}`;
  });
  return violations.join('; ');
}
