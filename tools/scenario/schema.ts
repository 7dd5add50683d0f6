/** JSON schema of scenario files, with defaults. */
import {ExpectationKind, PromiseId, RelayPlace} from './definition.js';
import {
  ConditionKind,
  TaskBehaviour,
  LinkMode,
  StepKind,
  StoreMode,
  TargetMode,
} from './step.js';

const TEXT = {type: 'string', minLength: 1};
const OPTIONAL_TEXT = {type: 'string', default: ''};
const COUNT = {type: 'integer', minimum: 0};
const NON_NEGATIVE = {type: 'number', minimum: 0};
const NAME_LIST = {type: 'array', items: TEXT, minItems: 1};

function describeObject(
  properties: Record<string, object>,
  required: readonly string[] = [],
): object {
  return {type: 'object', additionalProperties: false, properties, required};
}

function describeEnum(values: Record<string, string>): object {
  return {type: 'string', enum: Object.values(values)};
}

const JOB = {
  ...describeObject({
    tasks: {...COUNT, default: 4},
    deed: {...describeEnum(TaskBehaviour), default: TaskBehaviour.SLEEP},
    ms: {...COUNT, default: 50},
    bytes: {...COUNT, default: 0},
    failing: {...COUNT, default: 0},
    deadlineMs: {...COUNT, default: 30_000},
    team: {...TEXT, default: 'listings'},
  }),
  default: {},
};

const RELAY = describeObject(
  {name: TEXT, place: describeEnum(RelayPlace), process: TEXT},
  ['name', 'place', 'process'],
);

const FLEET = {
  ...describeObject({
    dataCentres: {...NAME_LIST, default: ['vn-south-a', 'vn-south-b']},
    entries: {...COUNT, default: 2},
    agents: {...COUNT, default: 2},
    slots: {...COUNT, default: 8},
    speeds: {type: 'array', items: NON_NEGATIVE, minItems: 1, default: [1]},
    hasBalancer: {type: 'boolean', default: false},
    relays: {type: 'array', items: RELAY, default: []},
    later: {type: 'array', items: TEXT, default: []},
    entrySettings: {type: 'object', default: {}},
    agentSettings: {type: 'object', default: {}},
    storeArguments: {type: 'array', items: TEXT, default: []},
  }),
  default: {},
};

const DEFAULT_TIMEOUT_MS = 10_000;
const TIMEOUT = {...COUNT, default: DEFAULT_TIMEOUT_MS};

const STEP_BODIES: Record<StepKind, object> = {
  [StepKind.START]: NAME_LIST,
  [StepKind.KILL]: NAME_LIST,
  [StepKind.FREEZE]: NAME_LIST,
  [StepKind.THAW]: NAME_LIST,
  [StepKind.STOP]: NAME_LIST,
  [StepKind.RESTART]: NAME_LIST,
  [StepKind.SUBMIT]: describeObject(
    {
      name: TEXT,
      via: TEXT,
      sessionFrom: OPTIONAL_TEXT,
      alsoVia: {type: 'array', items: TEXT, default: []},
      isKeyed: {type: 'boolean', default: true},
      inBackground: {type: 'boolean', default: false},
      job: JOB,
    },
    ['name', 'via'],
  ),
  [StepKind.RESUBMIT]: describeObject(
    {
      of: TEXT,
      name: TEXT,
      via: TEXT,
      inBackground: {type: 'boolean', default: false},
      isOtherBody: {type: 'boolean', default: false},
    },
    ['of', 'name', 'via'],
  ),
  [StepKind.LOAD]: describeObject(
    {
      name: TEXT,
      via: NAME_LIST,
      everyMs: {...COUNT, minimum: 1, default: 100},
      jobsAtMost: {...COUNT, default: 1000},
      resubmitEvery: {...COUNT, default: 0},
      retries: {type: 'boolean', default: false},
      job: JOB,
    },
    ['name', 'via'],
  ),
  [StepKind.END_LOAD]: describeObject({name: TEXT, withinMs: TIMEOUT}, [
    'name',
  ]),
  [StepKind.CANCEL]: describeObject({of: TEXT, via: TEXT}, ['of', 'via']),
  [StepKind.ROLL]: describeObject({processes: NAME_LIST, withinMs: TIMEOUT}, [
    'processes',
  ]),
  [StepKind.LINK]: describeObject(
    {name: TEXT, mode: describeEnum(LinkMode), delayMs: {...COUNT, default: 0}},
    ['name', 'mode'],
  ),
  [StepKind.STORE]: describeObject(
    {
      mode: describeEnum(StoreMode),
      slowMs: {...COUNT, default: 0},
      revisionOf: OPTIONAL_TEXT,
    },
    ['mode'],
  ),
  [StepKind.DATA_CENTRE]: describeObject(
    {
      change: TEXT,
      name: TEXT,
      service: {type: 'string', enum: ['in', 'out']},
      via: TEXT,
      mustBeAccepted: {type: 'boolean', default: true},
    },
    ['change', 'name', 'service', 'via'],
  ),
  [StepKind.RECORD]: describeObject(
    {
      change: TEXT,
      via: TEXT,
      record: describeObject({kind: TEXT, name: TEXT, spec: {type: 'object'}}, [
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
  [StepKind.PUT_VALUE]: describeObject({key: TEXT, value: TEXT}, [
    'key',
    'value',
  ]),
  [StepKind.TARGET]: describeObject(
    {
      name: TEXT,
      mode: describeEnum(TargetMode),
      factor: {...NON_NEGATIVE, default: 10},
      change: OPTIONAL_TEXT,
    },
    ['name', 'mode'],
  ),
  [StepKind.MARK]: describeObject({change: TEXT, subject: TEXT, to: TEXT}, [
    'change',
    'subject',
    'to',
  ]),
  [StepKind.OBSERVE]: describeObject({ms: COUNT}, ['ms']),
  [StepKind.AWAIT]: describeObject(
    {
      condition: describeEnum(ConditionKind),
      of: NAME_LIST,
      atLeast: {...COUNT, default: 1},
      withinMs: TIMEOUT,
    },
    ['condition', 'of'],
  ),
  [StepKind.PARALLEL]: {type: 'array', items: {$ref: '#/$defs/step'}},
};

const EXPECTATION_BODY = describeObject({
  of: {type: 'array', items: TEXT, default: []},
  change: OPTIONAL_TEXT,
  afterMs: {...COUNT, default: 5_000},
  withinMs: {...COUNT, default: 6_000},
  atMost: {...NON_NEGATIVE, default: 0},
  atLeast: {...NON_NEGATIVE, default: 0},
  oneOf: {type: 'array', items: TEXT, default: []},
});

function describeOneOf(bodies: Record<string, object>): object {
  return {...describeObject(bodies), minProperties: 1, maxProperties: 1};
}

function describeExpectations(): object {
  const kinds = Object.values(ExpectationKind);
  return describeOneOf(
    Object.fromEntries(kinds.map(kind => [kind, EXPECTATION_BODY])),
  );
}

/** JSON schema that validates a scenario file and fills in its defaults. */
export const SCENARIO_SCHEMA = {
  ...describeObject(
    {
      title: TEXT,
      proves: {type: 'array', items: describeEnum(PromiseId), minItems: 1},
      without: TEXT,
      fleet: FLEET,
      steps: {type: 'array', items: {$ref: '#/$defs/step'}, minItems: 1},
      expect: {type: 'array', items: describeExpectations()},
    },
    ['title', 'proves', 'without', 'steps', 'expect'],
  ),
  $defs: {step: describeOneOf(STEP_BODIES as Record<string, object>)},
};
