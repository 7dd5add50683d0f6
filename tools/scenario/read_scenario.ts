/** Reads scenario files and validates them against their schema. */
import {readFileSync} from 'node:fs';
import {Ajv} from 'ajv';
import {parse} from 'yaml';
import {SettingsError} from '../../src/lib/core/errors.js';
import {ExpectationKind} from './definition.js';
import {StepKind} from './step.js';
import type {
  Expectation,
  FleetDefinition,
  PromiseId,
  ScenarioDefinition,
} from './definition.js';
import type {Step} from './step.js';
import {SCENARIO_SCHEMA} from './schema.js';

type TaggedValue = Readonly<Record<string, object>>;

interface ScenarioDocument {
  readonly title: string;
  readonly proves: readonly PromiseId[];
  readonly without: string;
  readonly fleet: FleetDefinition;
  readonly steps: readonly TaggedValue[];
  readonly expect: readonly TaggedValue[];
}

// Coercion to arrays allows `kill: agent-1` as a list of one.
const validate = new Ajv({
  allErrors: true,
  useDefaults: true,
  coerceTypes: 'array',
  strict: false,
}).compile<ScenarioDocument>(SCENARIO_SCHEMA);

const PROCESS_STEP_KINDS: readonly string[] = [
  StepKind.START,
  StepKind.KILL,
  StepKind.FREEZE,
  StepKind.THAW,
  StepKind.STOP,
  StepKind.RESTART,
];

/** Expectations that apply to every scenario. */
const COMMON_EXPECTATIONS: readonly ExpectationKind[] = [
  ExpectationKind.DUPLICATE_STARTS,
  ExpectationKind.PARTIAL_ANSWERS,
  ExpectationKind.MIXED_ANSWERS,
  ExpectationKind.FALSE_DID_NOT_RUN,
  ExpectationKind.LIMIT_VIOLATIONS,
  ExpectationKind.REVISIONS_FALLEN,
];

/**
 * Reads a scenario file.
 *
 * @throws SettingsError that lists all schema violations.
 */
export function readScenario(path: string | URL): ScenarioDefinition {
  return parseScenario(readFileSync(path, 'utf8'), String(path));
}

/** Parses the text of a scenario file; `name` is used in error messages. */
export function parseScenario(text: string, name: string): ScenarioDefinition {
  const document: unknown = parse(text);
  if (!validate(document)) {
    const errors = (validate.errors ?? []).map(
      error => `${error.instancePath || '/'} ${error.message}`,
    );
    throw new SettingsError(
      `Scenario ${name} is invalid: ${errors.join('; ')}.`,
    );
  }
  return {
    ...document,
    steps: document.steps.map(readStep),
    expect: [
      ...listCommonExpectations(),
      ...document.expect.map(readExpectation),
    ],
  };
}

function readStep(tagged: TaggedValue): Step {
  const [[kind, body]] = Object.entries(tagged);
  if (PROCESS_STEP_KINDS.includes(kind)) {
    return {kind, processes: body} as unknown as Step;
  }
  if (kind === StepKind.PARALLEL) {
    const steps = (body as unknown as TaggedValue[]).map(readStep);
    return {kind: StepKind.PARALLEL, steps};
  }
  return {kind, ...body} as unknown as Step;
}

function readExpectation(tagged: TaggedValue): Expectation {
  const [[kind, body]] = Object.entries(tagged);
  return {...body, kind} as unknown as Expectation;
}

function listCommonExpectations(): Expectation[] {
  return COMMON_EXPECTATIONS.map(kind => ({
    kind,
    of: [],
    change: '',
    afterMs: 0,
    withinMs: 0,
    atMost: 0,
    atLeast: 0,
    oneOf: [],
  }));
}
