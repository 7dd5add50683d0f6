/** Interpreter of state charts. */
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
  /** False if the chart has no enabled transition for the event in this state. */
  readonly isHandled: boolean;
}

/** Evaluates a guard named in a chart. */
export type EvaluateGuard = (name: string) => boolean;

const NO_GUARDS: EvaluateGuard = () => false;

/**
 * Interprets one state chart.
 *
 * The chart file alone defines how states, events, guards and timers relate;
 * enums in the code repeat the names, and `create` checks that both agree.
 * Transitions are computed by `xstate` and cached by state, event and result of
 * the guards, so that an event usually costs one map look-up.
 */
export class Chart<S extends string, E extends string> {
  private readonly machine: AnyStateMachine;
  private readonly steps = new Map<string, ChartStep<S>>();
  private readonly guardsByKey = new Map<string, readonly string[]>();

  private constructor(readonly definition: ChartDefinition) {
    this.machine = createMachine(toMachineConfig(definition));
    this.indexGuards();
  }

  /**
   * Creates a chart from its definition.
   *
   * @throws ChartError listing the names on which the chart and the code
   *     disagree, missing target states and unreachable states.
   */
  static create<S extends string, E extends string>(
    definition: ChartDefinition,
    names: ChartNames<S, E>,
  ): Chart<S, E> {
    const problems = findChartProblems(definition, names);
    if (problems.length > 0) {
      throw new ChartError(
        `State chart "${definition.id}" is invalid: ${problems.join('; ')}.`,
      );
    }
    return new Chart<S, E>(definition);
  }

  /** The initial state. */
  get initial(): S {
    return this.definition.initial as S;
  }

  /** Returns the names of the timers that run in `state`. */
  getTimers(state: S): readonly string[] {
    return Object.keys(this.definition.states[state].after ?? {});
  }

  /** Returns whether `state` is final. */
  isFinal(state: S): boolean {
    return this.definition.states[state].type === 'final';
  }

  /** Returns the next state and the actions to perform. */
  step(state: S, event: E, evaluate: EvaluateGuard = NO_GUARDS): ChartStep<S> {
    const key = `${state}|${event}`;
    const guards = this.guardsByKey.get(key);
    if (guards === undefined) return this.getStep(key, state, event, []);
    const passed = guards.filter(evaluate);
    return this.getStep(`${key}|${passed.join(',')}`, state, event, passed);
  }

  private getStep(
    key: string,
    state: S,
    event: E,
    passed: readonly string[],
  ): ChartStep<S> {
    const cached = this.steps.get(key);
    if (cached !== undefined) return cached;
    const step = this.computeStep(state, event, passed);
    this.steps.set(key, step);
    return step;
  }

  private computeStep(
    state: S,
    event: E,
    passed: readonly string[],
  ): ChartStep<S> {
    const guards: Record<string, () => boolean> = {};
    for (const name of passed) guards[name] = () => true;
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
    const isHandled = transitions.some(
      t => t.guard === undefined || passed.includes(t.guard),
    );
    return {
      state: after.value as S,
      actions: actions.map(action => action.type),
      isHandled,
    };
  }

  private indexGuards(): void {
    for (const [state, body] of Object.entries(this.definition.states)) {
      for (const [event, transitions] of listTransitions(body)) {
        const guards = transitions.flatMap(t => (t.guard ? [t.guard] : []));
        if (guards.length > 0) {
          this.guardsByKey.set(`${state}|${event}`, guards);
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
  const transitions = Object.values(definition.states).flatMap(state =>
    listTransitions(state).flatMap(([, list]) => list),
  );
  return transitions.flatMap(t => (t.guard === undefined ? [] : [t.guard]));
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
