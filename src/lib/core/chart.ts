/** State charts, interpreted from their definitions. */
import {createMachine, transition} from 'xstate';
import type {AnyMachineSnapshot, AnyStateMachine} from 'xstate';
import {findChartProblems} from './chart_check.js';
import type {ChartNames} from './chart_check.js';
import {listTransitions, TIMER_EVENT_PREFIX, toList} from './chart_file.js';
import type {ChartDefinition, ChartTransition} from './chart_file.js';
import {ChartError} from './errors.js';

/** The result of one event. */
export interface ChartStep<S extends string> {
  readonly state: S;
  readonly actions: readonly string[];
  /** False when the chart ignores the event in this state. */
  readonly isHandled: boolean;
}

/** Evaluates a guard named in a chart. */
export type EvaluateGuard = (name: string) => boolean;

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
    vocabulary: ChartNames<S, E>,
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
      isHandled: isTaken,
    };
  }

  private indexGuards(): void {
    for (const [state, body] of Object.entries(this.definition.states)) {
      for (const [event, ways] of listTransitions(body)) {
        const guards = ways.flatMap(way => (way.guard ? [way.guard] : []));
        if (guards.length > 0) {
          this.guardsByCell.set(`${state}|${event}`, guards);
        }
      }
    }
  }
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

function listGuards(definition: ChartDefinition): string[] {
  const ways = Object.values(definition.states).flatMap(state =>
    listTransitions(state).flatMap(([, list]) => list),
  );
  return ways.flatMap(way => (way.guard === undefined ? [] : [way.guard]));
}

function toMachineConfig(definition: ChartDefinition): never {
  const states: Record<string, unknown> = {};
  for (const [name, state] of Object.entries(definition.states)) {
    states[name] = {
      type: state.type,
      on: Object.fromEntries(listTransitions(state)),
    };
  }
  return {id: definition.id, initial: definition.initial, states} as never;
}
