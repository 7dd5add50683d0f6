/** A running instance of a state chart. */
import type {Chart, ChartStep, EvaluateGuard} from './chart.js';
import {TIMER_EVENT_PREFIX} from './chart_file.js';

/**
 * Holds the current state of one instance of a chart and runs its timers.
 *
 * Entering a state starts the timers that the chart defines for it; leaving it
 * stops them. `send` returns the step, so that the owner sees whether the
 * event was handled.
 */
export class ChartInstance<S extends string, E extends string> {
  private current: S;
  private stops: Array<() => void> = [];

  private constructor(
    private readonly chart: Chart<S, E>,
    private readonly options: ChartInstanceOptions,
  ) {
    this.current = chart.initial;
    this.startTimers();
  }

  /** Creates an instance in the chart's initial state and starts its timers. */
  static create<S extends string, E extends string>(
    chart: Chart<S, E>,
    options: ChartInstanceOptions,
  ): ChartInstance<S, E> {
    return new ChartInstance(chart, options);
  }

  /** The current state. */
  get state(): S {
    return this.current;
  }

  /** Handles an event: changes to the next state and performs the actions. */
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

  /** Stops the timers. No event may be sent after this. */
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

/** Functions that an instance of a chart calls. */
export interface ChartInstanceOptions {
  /** Starts a timer of the chart by name; returns the function that stops it. */
  readonly startNamedTimer: (name: string, fire: () => void) => () => void;
  /** Called when a timer fires; the owner posts the event to its mailbox. */
  readonly fire: (event: string) => void;
  /** Evaluates a guard by name. */
  readonly evaluate?: EvaluateGuard;
  /** Performs an action by name. */
  readonly perform?: (action: string) => void;
}
