/** One life cycle on its way through a chart. */
import type {Chart, ChartStep, EvaluateGuard} from './chart.js';
import {TIMER_EVENT_PREFIX} from './chart_file.js';

/**
 * Runs one life cycle through its chart, timers included.
 *
 * Entering a state starts the timers that the chart names for it; leaving it
 * stops them. `send` returns the step, so that the owner sees whether the
 * event was taken.
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

  /** Creates a run in the chart's initial state and starts its timers. */
  static create<S extends string, E extends string>(
    chart: Chart<S, E>,
    options: ChartInstanceOptions,
  ): ChartInstance<S, E> {
    return new ChartInstance(chart, options);
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
export interface ChartInstanceOptions {
  /** Starts the timer that the chart names; returns what stops it. */
  readonly startNamedTimer: (name: string, fire: () => void) => () => void;
  /** Is called when a timer fires; the owner posts the event to its mailbox. */
  readonly fire: (event: string) => void;
  /** Evaluates a guard by name. */
  readonly evaluate?: EvaluateGuard;
  /** Carries out an action by name. */
  readonly perform?: (action: string) => void;
}
