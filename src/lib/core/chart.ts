/** State charts that are read from files, checked and interpreted. */
import {readFileSync} from 'node:fs';
import {createMachine, transition} from 'xstate';
import type {AnyMachineSnapshot, AnyStateMachine} from 'xstate';
import {parse} from 'yaml';
import {ChartError, ErrorCode} from './errors.js';

/** One way out of a state. */
export interface ChartTransition {
  readonly target?: string;
  readonly guard?: string;
  readonly actions?: readonly string[];
}

/** One state of a chart file. */
export interface ChartState {
  readonly type?: 'final';
  readonly description?: string;
  readonly on?: Readonly<Record<string, ChartTransition | ChartTransition[]>>;
  /** Timers that run while the state lasts: name of the timer, way out. */
  readonly after?: Readonly<Record<string, ChartTransition>>;
}

/** What a chart file holds. */
export interface ChartDefinition {
  readonly id: string;
  readonly description: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

/** The names that the code uses; a chart must have exactly these. */
export interface ChartVocabulary<S extends string, E extends string> {
  /** Enum of states. */
  readonly states: Readonly<Record<string, S>>;
  /** Enum of events, those of timers included (`timer.NAME`). */
  readonly events: Readonly<Record<string, E>>;
  /** Names of the guards that the code supplies. */
  readonly guards?: readonly string[];
  /** Names of the actions that the code supplies. */
  readonly actions?: readonly string[];
}

/** The result of one event. */
export interface ChartStep<S extends string> {
  readonly state: S;
  readonly actions: readonly string[];
  /** False when the chart ignores the event in this state. */
  readonly isTaken: boolean;
}

/** Evaluates a guard named in a chart. */
export type EvaluateGuard = (name: string) => boolean;

/** Prefix of the event that a timer sends when it fires. */
export const TIMER_EVENT_PREFIX = 'timer.';

const NO_GUARDS: EvaluateGuard = () => false;

/**
 * Interprets one state chart.
 *
 * The chart's file is the only place where states, events, guards and timers
 * are related; enums in the code repeat the names and `create` checks that the
 * two agree. Transitions are worked out by `xstate` and remembered for each
 * state, event and outcome of guards, so that a busy life cycle costs one map
 * look-up an event.
 */
export class Chart<S extends string, E extends string> {
  private readonly machine: AnyStateMachine;
  private readonly steps = new Map<string, ChartStep<S>>();
  private readonly guardsByCell = new Map<string, readonly string[]>();

  private constructor(readonly definition: ChartDefinition) {
    this.machine = createMachine(toMachineConfig(definition));
    this.indexGuards();
  }

  /**
   * Creates a chart from its definition.
   *
   * @throws ChartError naming the state, event, guard or action that is
   *     unknown, unreachable, unhandled or missing.
   */
  static create<S extends string, E extends string>(
    definition: ChartDefinition,
    vocabulary: ChartVocabulary<S, E>,
  ): Chart<S, E> {
    const problems = findChartProblems(definition, vocabulary);
    if (problems.length > 0) {
      throw new ChartError(
        `State chart "${definition.id}" is wrong: ${problems.join('; ')}.`,
      );
    }
    return new Chart<S, E>(definition);
  }

  /** The state in which a life cycle begins. */
  get initial(): S {
    return this.definition.initial as S;
  }

  /** Names of the timers that run while `state` lasts. */
  getTimers(state: S): readonly string[] {
    return Object.keys(this.definition.states[state].after ?? {});
  }

  /** Tells whether no event leads out of `state`. */
  isFinal(state: S): boolean {
    return this.definition.states[state].type === 'final';
  }

  /** Returns the state that follows and the actions to carry out. */
  step(state: S, event: E, evaluate: EvaluateGuard = NO_GUARDS): ChartStep<S> {
    const cell = `${state}|${event}`;
    const guards = this.guardsByCell.get(cell);
    if (guards === undefined) return this.recall(cell, state, event, []);
    const held = guards.filter(evaluate);
    return this.recall(`${cell}|${held.join(',')}`, state, event, held);
  }

  private recall(
    cell: string,
    state: S,
    event: E,
    held: readonly string[],
  ): ChartStep<S> {
    const known = this.steps.get(cell);
    if (known !== undefined) return known;
    const step = this.workOut(state, event, held);
    this.steps.set(cell, step);
    return step;
  }

  private workOut(state: S, event: E, held: readonly string[]): ChartStep<S> {
    const guards: Record<string, () => boolean> = {};
    for (const name of held) guards[name] = () => true;
    const names = listGuards(this.definition);
    for (const name of names) guards[name] ??= () => false;
    const machine = this.machine.provide({guards} as never);
    const before = machine.resolveState({value: state, context: {}} as never);
    const [after, actions] = transition(
      machine,
      before as never,
      {
        type: event,
      } as never,
    ) as unknown as [AnyMachineSnapshot, Array<{type: string}>];
    const transitions = toList(
      this.definition.states[state].on?.[event] ??
        findTimer(this.definition, state, event),
    );
    const isTaken = transitions.some(
      way => way.guard === undefined || held.includes(way.guard),
    );
    return {
      state: after.value as S,
      actions: actions.map(action => action.type),
      isTaken,
    };
  }

  private indexGuards(): void {
    for (const [state, body] of Object.entries(this.definition.states)) {
      for (const [event, ways] of listWays(body)) {
        const guards = ways.flatMap(way => (way.guard ? [way.guard] : []));
        if (guards.length > 0) {
          this.guardsByCell.set(`${state}|${event}`, guards);
        }
      }
    }
  }
}

/**
 * Reads a chart file (YAML).
 *
 * @throws ChartError if the file cannot be read or is not a chart.
 */
export function readChartFile(path: URL | string): ChartDefinition {
  let document: unknown;
  try {
    document = parse(readFileSync(path, 'utf8'));
  } catch (cause) {
    throw new ChartError(`State chart file ${path} cannot be read.`, {cause});
  }
  if (!isChartDefinition(document)) {
    throw new ChartError(
      `State chart file ${path} needs "id", "description", "initial" and "states".`,
    );
  }
  return document;
}

/** Reads the chart file of that name from the project's `charts` folder. */
export function readChart(name: string): ChartDefinition {
  return readChartFile(
    new URL(`../../../../charts/${name}.yaml`, import.meta.url),
  );
}

function isChartDefinition(document: unknown): document is ChartDefinition {
  if (typeof document !== 'object' || document === null) return false;
  const chart = document as Partial<ChartDefinition>;
  return (
    typeof chart.id === 'string' &&
    typeof chart.description === 'string' &&
    typeof chart.initial === 'string' &&
    typeof chart.states === 'object' &&
    chart.states !== null
  );
}

function toList<T>(value: T | T[] | undefined): T[] {
  if (value === undefined) return [];
  return Array.isArray(value) ? value : [value];
}

function findTimer(
  definition: ChartDefinition,
  state: string,
  event: string,
): ChartTransition | undefined {
  if (!event.startsWith(TIMER_EVENT_PREFIX)) return undefined;
  return definition.states[state].after?.[
    event.slice(TIMER_EVENT_PREFIX.length)
  ];
}

/** Lists the ways out of a state by event, those of its timers included. */
export function listWays(
  state: ChartState,
): Array<[event: string, ways: ChartTransition[]]> {
  const byEvent = Object.entries(state.on ?? {}).map(
    ([event, ways]): [string, ChartTransition[]] => [event, toList(ways)],
  );
  const byTimer = Object.entries(state.after ?? {}).map(
    ([timer, way]): [string, ChartTransition[]] => [
      TIMER_EVENT_PREFIX + timer,
      [way],
    ],
  );
  return [...byEvent, ...byTimer];
}

function listGuards(definition: ChartDefinition): string[] {
  const ways = Object.values(definition.states).flatMap(state =>
    listWays(state).flatMap(([, list]) => list),
  );
  return ways.flatMap(way => (way.guard === undefined ? [] : [way.guard]));
}

function toMachineConfig(definition: ChartDefinition): never {
  const states: Record<string, unknown> = {};
  for (const [name, state] of Object.entries(definition.states)) {
    states[name] = {type: state.type, on: Object.fromEntries(listWays(state))};
  }
  return {id: definition.id, initial: definition.initial, states} as never;
}

function findChartProblems<S extends string, E extends string>(
  definition: ChartDefinition,
  vocabulary: ChartVocabulary<S, E>,
): string[] {
  const states = Object.keys(definition.states);
  const ways = states.flatMap(name => listWays(definition.states[name]));
  const transitions = ways.flatMap(([, list]) => list);
  const targets = transitions.flatMap(way => (way.target ? [way.target] : []));
  const events = [...new Set(ways.map(([event]) => event))];
  const guards = transitions.flatMap(way => (way.guard ? [way.guard] : []));
  const actions = transitions.flatMap(way => [...(way.actions ?? [])]);
  return [
    ...compareNames('state', states, Object.values(vocabulary.states)),
    ...compareNames('event', events, Object.values(vocabulary.events)),
    ...compareNames('guard', guards, vocabulary.guards ?? []),
    ...compareNames('action', actions, vocabulary.actions ?? []),
    ...findMissing('target state', targets, states, 'the chart'),
    ...findMissing('initial state', [definition.initial], states, 'the chart'),
    ...findUnreachable(definition),
  ];
}

function compareNames(
  kind: string,
  inChart: readonly string[],
  inCode: readonly string[],
): string[] {
  return [
    ...findMissing(kind, inChart, inCode, 'the code'),
    ...findMissing(kind, inCode, inChart, 'the chart'),
  ];
}

function findMissing(
  kind: string,
  wanted: readonly string[],
  present: readonly string[],
  where: string,
): string[] {
  return [...new Set(wanted)]
    .filter(name => !present.includes(name))
    .map(name => `${kind} "${name}" is unknown to ${where}`);
}

function findUnreachable(definition: ChartDefinition): string[] {
  const reached = new Set<string>();
  const open = [definition.initial];
  while (open.length > 0) {
    const name = open.pop()!;
    const state = definition.states[name];
    if (state === undefined || reached.has(name)) continue;
    reached.add(name);
    for (const [, ways] of listWays(state)) {
      open.push(...ways.flatMap(way => (way.target ? [way.target] : [])));
    }
  }
  return Object.keys(definition.states)
    .filter(name => !reached.has(name))
    .map(name => `state "${name}" cannot be reached`);
}

/**
 * Runs one life cycle through its chart, timers included.
 *
 * Entering a state starts the timers that the chart names for it; leaving it
 * stops them. `send` returns the step, so that the owner sees whether the
 * event was taken.
 */
export class ChartRun<S extends string, E extends string> {
  private current: S;
  private stops: Array<() => void> = [];

  private constructor(
    private readonly chart: Chart<S, E>,
    private readonly options: ChartRunOptions,
  ) {
    this.current = chart.initial;
    this.startTimers();
  }

  /** Creates a run in the chart's initial state and starts its timers. */
  static create<S extends string, E extends string>(
    chart: Chart<S, E>,
    options: ChartRunOptions,
  ): ChartRun<S, E> {
    return new ChartRun(chart, options);
  }

  /** The state the run is in. */
  get state(): S {
    return this.current;
  }

  /** Takes an event, moves to the state that follows and runs its actions. */
  send(event: E): ChartStep<S> {
    const step = this.chart.step(this.current, event, this.options.evaluate);
    if (step.state !== this.current) {
      this.stopTimers();
      this.current = step.state;
      this.startTimers();
    }
    for (const action of step.actions) this.options.perform?.(action);
    return step;
  }

  /** Stops the timers. The run takes no further events after this. */
  stopTimers(): void {
    for (const stop of this.stops) stop();
    this.stops = [];
  }

  private startTimers(): void {
    for (const name of this.chart.getTimers(this.current)) {
      const event = (TIMER_EVENT_PREFIX + name) as E;
      this.stops.push(
        this.options.startNamedTimer(name, () => this.options.fire(event)),
      );
    }
  }
}

/** The functions that a chart's run calls. */
export interface ChartRunOptions {
  /** Starts the timer that the chart names; returns what stops it. */
  readonly startNamedTimer: (name: string, fire: () => void) => () => void;
  /** Is called when a timer fires; the owner posts the event to its mailbox. */
  readonly fire: (event: string) => void;
  /** Evaluates a guard by name. */
  readonly evaluate?: EvaluateGuard;
  /** Carries out an action by name. */
  readonly perform?: (action: string) => void;
}

/** Reports an event that the chart does not take in the current state. */
export function reportUnhandled(chart: string, state: string, event: string) {
  return new ChartError(
    `State chart "${chart}" takes no event "${event}" in state "${state}".`,
    {props: {code: ErrorCode.CHART_EVENT_UNHANDLED}},
  );
}
