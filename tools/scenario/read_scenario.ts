/** Reads scenario files and checks them against their schema. */
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

type Tagged = Readonly<Record<string, object>>;

interface ScenarioDocument {
  readonly title: string;
  readonly proves: readonly PromiseId[];
  readonly without: string;
  readonly fleet: FleetDefinition;
  readonly steps: readonly Tagged[];
  readonly expect: readonly Tagged[];
}

// Coercion to arrays lets a file say `kill: agent-1` for a list of one.
const validate = new Ajv({
  allErrors: true,
  useDefaults: true,
  coerceTypes: 'array',
  strict: false,
}).compile<ScenarioDocument>(SCENARIO_SCHEMA);

const STEPS_ON_PROCESSES: readonly string[] = [
  StepKind.START,
  StepKind.KILL,
  StepKind.FREEZE,
  StepKind.THAW,
  StepKind.STOP,
  StepKind.RESTART,
];

/** Expectations that every scenario is held to. */
const ALWAYS_EXPECTED: readonly ExpectationKind[] = [
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
 * @throws SettingsError listing every mistake found.
 */
export function readScenario(path: string | URL): ScenarioDefinition {
  return parseScenario(readFileSync(path, 'utf8'), String(path));
}

/** Reads a scenario from the text of a file of that name. */
export function parseScenario(text: string, name: string): ScenarioDefinition {
  const document: unknown = parse(text);
  if (!validate(document)) {
    const mistakes = (validate.errors ?? []).map(
      mistake => `${mistake.instancePath || '/'} ${mistake.message}`,
    );
    throw new SettingsError(
      `Scenario ${name} is wrong: ${mistakes.join('; ')}.`,
    );
  }
  return {
    ...document,
    steps: document.steps.map(readStep),
    expect: [...listAlways(), ...document.expect.map(readExpectation)],
  };
}

function readStep(tagged: Tagged): Step {
  const [[kind, body]] = Object.entries(tagged);
  if (STEPS_ON_PROCESSES.includes(kind)) {
    return {kind, processes: body} as unknown as Step;
  }
  if (kind === StepKind.PARALLEL) {
    const steps = (body as unknown as Tagged[]).map(readStep);
    return {kind: StepKind.PARALLEL, steps};
  }
  return {kind, ...body} as unknown as Step;
}

function readExpectation(tagged: Tagged): Expectation {
  const [[kind, body]] = Object.entries(tagged);
  return {...body, kind} as unknown as Expectation;
}

function listAlways(): Expectation[] {
  return ALWAYS_EXPECTED.map(kind => ({
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
