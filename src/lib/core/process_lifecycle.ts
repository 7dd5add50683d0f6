/** The start and graceful stop of a process. */
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

/** Longest time in milliseconds for handing over what others need. */
const RELEASE_LIMIT_MS = 5000;

/** What a process's life needs to be created. */
export interface ProcessLifecycleOptions {
  /** How long a leaving process still takes new work, in milliseconds. */
  readonly noticeMs: number;
  /** How long a draining process waits for its work to end, in milliseconds. */
  readonly drainMs: number;
  readonly startTimer: StartTimer;
  /** Carries out what the chart asks for. */
  readonly perform: (action: ProcessAction) => void;
  /** Is told of every state that is entered. */
  readonly reportState: (state: ProcessState) => void;
}

/** Runs `charts/process.yaml` for one process. */
export class ProcessLifecycle {
  private readonly run: ChartInstance<ProcessState, ProcessEvent>;

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
    this.run = ChartInstance.create(chart, {
      startNamedTimer: (name, fire) =>
        options.startTimer(durations[name], fire),
      fire: event => this.send(event as ProcessEvent),
      perform: action => options.perform(action as ProcessAction),
    });
  }

  /** Creates a life in its starting state. */
  static create(options: ProcessLifecycleOptions): ProcessLifecycle {
    return new ProcessLifecycle(options);
  }

  /** The state the process is in. */
  get state(): ProcessState {
    return this.run.state;
  }

  /** Takes an event; one that does not fit the state is ignored. */
  send(event: ProcessEvent): void {
    const before = this.run.state;
    this.run.send(event);
    if (this.run.state !== before) this.options.reportState(this.run.state);
  }
}
