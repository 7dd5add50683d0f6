/** Types of a parsed and validated scenario file. */
import type {Step} from './step.js';

/** Guarantees of the system, as numbered in `docs/PROMISES.md`. */
export enum PromiseId {
  P1 = 'P1',
  P2 = 'P2',
  P3 = 'P3',
  P4 = 'P4',
  P5 = 'P5',
  P6 = 'P6',
  P7 = 'P7',
  P8 = 'P8',
  P9 = 'P9',
}

/** Connections into which a relay can be inserted. */
export enum RelayPlace {
  /** In front of an entry's gRPC listener, for all agents and peers. */
  PEERS = 'peers',
  /** Between one entry and the store. */
  STORE = 'store',
  /** Between one target and the agent to which it announces itself. */
  ANNOUNCE = 'announce',
  /** In front of an entry's listener for callers. */
  CALLERS = 'callers',
}

/** A relay, with the process whose connections pass through it. */
export interface RelayDefinition {
  readonly name: string;
  readonly place: RelayPlace;
  readonly process: string;
}

/** The processes of a scenario, named `entry-1`, `agent-1`, `target-1` and so on. */
export interface FleetDefinition {
  readonly dataCentres: readonly string[];
  readonly entries: number;
  /** Each agent has a target of the same number. */
  readonly agents: number;
  readonly slots: number;
  /** Speed factors of the targets, repeated cyclically. */
  readonly speeds: readonly number[];
  readonly hasBalancer: boolean;
  readonly relays: readonly RelayDefinition[];
  /** Processes that are not started at first but by a `start` step. */
  readonly later: readonly string[];
  /** Settings merged over the defaults, section by section. */
  readonly entrySettings: Readonly<Record<string, object>>;
  readonly agentSettings: Readonly<Record<string, object>>;
  /** Additional command line arguments of the stand-in store. */
  readonly storeArguments: readonly string[];
}

/** Kinds of expectation; the values are the keys in scenario files. */
export enum ExpectationKind {
  DUPLICATE_STARTS = 'duplicateStarts',
  PARTIAL_ANSWERS = 'partialAnswers',
  MIXED_ANSWERS = 'mixedAnswers',
  FALSE_DID_NOT_RUN = 'falseDidNotRun',
  CUT_REQUESTS = 'cutRequests',
  LIMIT_VIOLATIONS = 'limitViolations',
  REVISIONS_FALLEN = 'revisionsFallen',
  ANSWERED_SHARE_AT_LEAST = 'answeredShareAtLeast',
  STARTS_IN_DATA_CENTRE = 'startsInDataCentre',
  STARTS_AT_LEFT_TARGET = 'startsAtLeftTarget',
  REVISION_IN_FORCE = 'revisionInForce',
  OUTCOME = 'outcome',
  ANSWERS_WITH = 'answersWith',
  SAME_ANSWER = 'sameAnswer',
  STARTS = 'starts',
  RATE_KEPT = 'rateKept',
}

/** One item of `expect`; the kind determines which properties are used. */
export interface Expectation {
  readonly kind: ExpectationKind;
  /** Submissions or loads to which it applies; if empty, to all. */
  readonly of: readonly string[];
  /** Change from which times are measured. */
  readonly change: string;
  readonly afterMs: number;
  readonly withinMs: number;
  readonly atMost: number;
  readonly atLeast: number;
  /** Accepted outcomes or codes of the answer. */
  readonly oneOf: readonly string[];
}

/** A parsed scenario file. */
export interface ScenarioDefinition {
  readonly title: string;
  readonly proves: readonly PromiseId[];
  /** The mechanism without which the scenario fails. */
  readonly without: string;
  readonly fleet: FleetDefinition;
  readonly steps: readonly Step[];
  readonly expect: readonly Expectation[];
}
