/** Start and graceful shutdown of a process. */
import {Chart} from './chart.js';
import {readChart} from './chart_file.js';
import {ChartInstance} from './chart_instance.js';
import type {StartTimer} from './clock.js';

/** States of `charts/process.yaml`. */
export enum ProcessState {
  STARTING = 'starting',
  SERVING = 'serving',
  LEAVING = 'leaving',
  DRAINING = 'draining',
  RELEASING = 'releasing',
  STOPPED = 'stopped',
}

/** Events of `charts/process.yaml`. */
export enum ProcessEvent {
  READY = 'ready',
  STOP = 'stop',
  IDLE = 'idle',
  RELEASED = 'released',
  NOTICE = 'timer.notice',
  DRAIN_LIMIT = 'timer.drainLimit',
  RELEASE_LIMIT = 'timer.releaseLimit',
}

/** Actions of `charts/process.yaml`. */
export enum ProcessAction {
  REFUSE_READINESS = 'refuseReadiness',
  REFUSE_WORK = 'refuseWork',
  REPORT_UNFINISHED = 'reportUnfinished',
  HAND_OVER = 'handOver',
}

/** Time limit in milliseconds for handing over state to other processes. */
const RELEASE_LIMIT_MS = 5000;

/** Options of `ProcessLifecycle.create`. */
export interface ProcessLifecycleOptions {
  /** How long a process that is shutting down still accepts new work, in milliseconds. */
  readonly noticeMs: number;
  /** Time limit for work in progress to finish, in milliseconds. */
  readonly drainMs: number;
  readonly startTimer: StartTimer;
  /** Performs an action of the chart. */
  readonly perform: (action: ProcessAction) => void;
  /** Called with each state that is entered. */
  readonly reportState: (state: ProcessState) => void;
}

/** The lifecycle of one process, as defined by `charts/process.yaml`. */
export class ProcessLifecycle {
  private readonly chart: ChartInstance<ProcessState, ProcessEvent>;

  private constructor(private readonly options: ProcessLifecycleOptions) {
    const chart = Chart.create(readChart('process'), {
      states: ProcessState,
      events: ProcessEvent,
      actions: Object.values(ProcessAction),
    });
    const durations: Readonly<Record<string, number>> = {
      notice: options.noticeMs,
      drainLimit: options.drainMs,
      releaseLimit: RELEASE_LIMIT_MS,
    };
    this.chart = ChartInstance.create(chart, {
      startNamedTimer: (name, fire) =>
        options.startTimer(durations[name], fire),
      fire: event => this.send(event as ProcessEvent),
      perform: action => options.perform(action as ProcessAction),
    });
  }

  /** Creates a lifecycle in the state `STARTING`. */
  static create(options: ProcessLifecycleOptions): ProcessLifecycle {
    return new ProcessLifecycle(options);
  }

  /** The current state of the process. */
  get state(): ProcessState {
    return this.chart.state;
  }

  /** Handles an event; an event that the current state does not handle is ignored. */
  send(event: ProcessEvent): void {
    const before = this.chart.state;
    this.chart.send(event);
    if (this.chart.state !== before) this.options.reportState(this.chart.state);
  }
}
