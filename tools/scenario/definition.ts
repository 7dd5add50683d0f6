/** What a scenario file says, after it has been read and checked. */
import type {Step} from './step.js';

/** Promises of the brief, in the order in which it lists them. */
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

/** Where a relay stands. */
export enum RelayPlace {
  /** In front of an entry's gRPC listener, for all agents and peers. */
  PEERS = 'peers',
  /** Between one entry and the store. */
  STORE = 'store',
  /** Between one target and the agent to which it announces itself. */
  ANNOUNCE = 'announce',
  /** In front of an entry's callers' listener. */
  CALLERS = 'callers',
}

/** One relay of the fleet. */
export interface RelayDefinition {
  readonly name: string;
  readonly place: RelayPlace;
  readonly process: string;
}

/** The processes of a scenario. Numbers name `entry-1`, `agent-1`, `target-1`... */
export interface FleetDefinition {
  readonly dataCentres: readonly string[];
  readonly entries: number;
  /** Each agent has a target of the same number. */
  readonly agents: number;
  readonly slots: number;
  /** Speed factors of the targets, repeated as needed. */
  readonly speeds: readonly number[];
  readonly hasBalancer: boolean;
  readonly relays: readonly RelayDefinition[];
  /** Processes that a `start` step starts later. */
  readonly later: readonly string[];
  /** Settings that replace the defaults, section by section. */
  readonly entrySettings: Readonly<Record<string, object>>;
  readonly agentSettings: Readonly<Record<string, object>>;
  /** Further command line arguments of the stand-in store. */
  readonly storeArguments: readonly string[];
}

/** Kinds of expectation. */
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

/** One line of `expect`; which members are used depends on the kind. */
export interface Expectation {
  readonly kind: ExpectationKind;
  /** Submissions or loads that are meant; empty: all. */
  readonly of: readonly string[];
  /** Change from which time is counted. */
  readonly change: string;
  readonly afterMs: number;
  readonly withinMs: number;
  readonly atMost: number;
  readonly atLeast: number;
  /** Outcomes or codes that the answer may have. */
  readonly oneOf: readonly string[];
}

/** A scenario file. */
export interface ScenarioDefinition {
  readonly title: string;
  readonly proves: readonly PromiseId[];
  /** The mechanism whose removal makes the scenario fail. */
  readonly without: string;
  readonly fleet: FleetDefinition;
  readonly steps: readonly Step[];
  readonly expect: readonly Expectation[];
}
