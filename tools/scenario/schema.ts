/** The form of scenario files, as a JSON schema with defaults. */
import {ExpectationKind, PromiseId, RelayPlace} from './definition.js';
import {
  ConditionKind,
  Deed,
  LinkMode,
  StepKind,
  StoreMode,
  TargetMode,
} from './step.js';

const TEXT = {type: 'string', minLength: 1};
const WORD = {type: 'string', default: ''};
const COUNT = {type: 'integer', minimum: 0};
const FRACTION = {type: 'number', minimum: 0};
const NAMES = {type: 'array', items: TEXT, minItems: 1};

function describe(
  properties: Record<string, object>,
  required: readonly string[] = [],
): object {
  return {type: 'object', additionalProperties: false, properties, required};
}

function listValues(values: Record<string, string>): object {
  return {type: 'string', enum: Object.values(values)};
}

const JOB = {
  ...describe({
    tasks: {...COUNT, default: 4},
    deed: {...listValues(Deed), default: Deed.SLEEP},
    ms: {...COUNT, default: 50},
    bytes: {...COUNT, default: 0},
    failing: {...COUNT, default: 0},
    deadlineMs: {...COUNT, default: 30_000},
    team: {...TEXT, default: 'listings'},
  }),
  default: {},
};

const RELAY = describe(
  {name: TEXT, place: listValues(RelayPlace), process: TEXT},
  ['name', 'place', 'process'],
);

const FLEET = {
  ...describe({
    dataCentres: {...NAMES, default: ['vn-south-a', 'vn-south-b']},
    entries: {...COUNT, default: 2},
    agents: {...COUNT, default: 2},
    slots: {...COUNT, default: 8},
    speeds: {type: 'array', items: FRACTION, minItems: 1, default: [1]},
    hasBalancer: {type: 'boolean', default: false},
    relays: {type: 'array', items: RELAY, default: []},
    later: {type: 'array', items: TEXT, default: []},
    entrySettings: {type: 'object', default: {}},
    agentSettings: {type: 'object', default: {}},
    storeArguments: {type: 'array', items: TEXT, default: []},
  }),
  default: {},
};

const DEFAULT_BOUND_MS = 10_000;
const BOUND = {...COUNT, default: DEFAULT_BOUND_MS};

const STEP_BODIES: Record<StepKind, object> = {
  [StepKind.START]: NAMES,
  [StepKind.KILL]: NAMES,
  [StepKind.FREEZE]: NAMES,
  [StepKind.THAW]: NAMES,
  [StepKind.STOP]: NAMES,
  [StepKind.RESTART]: NAMES,
  [StepKind.SUBMIT]: describe(
    {
      name: TEXT,
      via: TEXT,
      sessionFrom: WORD,
      alsoVia: {type: 'array', items: TEXT, default: []},
      isKeyed: {type: 'boolean', default: true},
      inBackground: {type: 'boolean', default: false},
      job: JOB,
    },
    ['name', 'via'],
  ),
  [StepKind.RESUBMIT]: describe(
    {
      of: TEXT,
      name: TEXT,
      via: TEXT,
      inBackground: {type: 'boolean', default: false},
      isOtherBody: {type: 'boolean', default: false},
    },
    ['of', 'name', 'via'],
  ),
  [StepKind.LOAD]: describe(
    {
      name: TEXT,
      via: NAMES,
      everyMs: {...COUNT, minimum: 1, default: 100},
      jobsAtMost: {...COUNT, default: 1000},
      resubmitEvery: {...COUNT, default: 0},
      retries: {type: 'boolean', default: false},
      job: JOB,
    },
    ['name', 'via'],
  ),
  [StepKind.END_LOAD]: describe({name: TEXT, withinMs: BOUND}, ['name']),
  [StepKind.CANCEL]: describe({of: TEXT, via: TEXT}, ['of', 'via']),
  [StepKind.ROLL]: describe({processes: NAMES, withinMs: BOUND}, ['processes']),
  [StepKind.LINK]: describe(
    {name: TEXT, mode: listValues(LinkMode), delayMs: {...COUNT, default: 0}},
    ['name', 'mode'],
  ),
  [StepKind.STORE]: describe(
    {
      mode: listValues(StoreMode),
      slowMs: {...COUNT, default: 0},
      revisionOf: WORD,
    },
    ['mode'],
  ),
  [StepKind.DATA_CENTRE]: describe(
    {
      change: TEXT,
      name: TEXT,
      service: {type: 'string', enum: ['in', 'out']},
      via: TEXT,
      mustBeAccepted: {type: 'boolean', default: true},
    },
    ['change', 'name', 'service', 'via'],
  ),
  [StepKind.RECORD]: describe(
    {
      change: TEXT,
      via: TEXT,
      record: describe({kind: TEXT, name: TEXT, spec: {type: 'object'}}, [
        'kind',
        'name',
        'spec',
      ]),
      statuses: {
        type: 'array',
        items: {type: 'integer'},
        default: [200, 201, 202],
      },
    },
    ['change', 'via', 'record'],
  ),
  [StepKind.PUT_VALUE]: describe({key: TEXT, value: TEXT}, ['key', 'value']),
  [StepKind.TARGET]: describe(
    {
      name: TEXT,
      mode: listValues(TargetMode),
      factor: {...FRACTION, default: 10},
      change: WORD,
    },
    ['name', 'mode'],
  ),
  [StepKind.MARK]: describe({change: TEXT, subject: TEXT, to: TEXT}, [
    'change',
    'subject',
    'to',
  ]),
  [StepKind.OBSERVE]: describe({ms: COUNT}, ['ms']),
  [StepKind.AWAIT]: describe(
    {
      condition: listValues(ConditionKind),
      of: NAMES,
      atLeast: {...COUNT, default: 1},
      withinMs: BOUND,
    },
    ['condition', 'of'],
  ),
  [StepKind.PARALLEL]: {type: 'array', items: {$ref: '#/$defs/step'}},
};

const EXPECTATION_BODY = describe({
  of: {type: 'array', items: TEXT, default: []},
  change: WORD,
  afterMs: {...COUNT, default: 5_000},
  withinMs: {...COUNT, default: 6_000},
  atMost: {...FRACTION, default: 0},
  atLeast: {...FRACTION, default: 0},
  oneOf: {type: 'array', items: TEXT, default: []},
});

function describeOneOf(bodies: Record<string, object>): object {
  return {...describe(bodies), minProperties: 1, maxProperties: 1};
}

function describeExpectations(): object {
  const kinds = Object.values(ExpectationKind);
  return describeOneOf(
    Object.fromEntries(kinds.map(kind => [kind, EXPECTATION_BODY])),
  );
}

/** Describes a scenario file. */
export const SCENARIO_SCHEMA = {
  ...describe(
    {
      title: TEXT,
      proves: {type: 'array', items: listValues(PromiseId), minItems: 1},
      without: TEXT,
      fleet: FLEET,
      steps: {type: 'array', items: {$ref: '#/$defs/step'}, minItems: 1},
      expect: {type: 'array', items: describeExpectations()},
    },
    ['title', 'proves', 'without', 'steps', 'expect'],
  ),
  $defs: {step: describeOneOf(STEP_BODIES as Record<string, object>)},
};
