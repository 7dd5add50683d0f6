/** Lifecycle of a fleet process: state changes, log lines and clean-up on stop. */
import type {StartTimer} from '../core/clock.js';
import {DisposableStore} from '../core/disposable_store.js';
import {
  ProcessAction,
  ProcessEvent,
  ProcessLifecycle,
  ProcessState,
} from '../core/process_lifecycle.js';
import {FleetEvent} from '../observe/fleet_log.js';
import type {FleetLog} from '../observe/fleet_log.js';

/** The actions that a process performs itself; no fleet process hands state over. */
export type FleetProcessAction = Exclude<
  ProcessAction,
  ProcessAction.HAND_OVER
>;

/** Settings and callbacks of a fleet process. */
export interface FleetProcessOptions {
  /** Name of the process in log messages, such as `entry`. */
  readonly name: string;
  /** Time in milliseconds for which a leaving process still accepts new work. */
  readonly noticeMs: number;
  /** Time in milliseconds for which a draining process waits for its work to end. */
  readonly drainMs: number;
  readonly startTimer: StartTimer;
  readonly log: FleetLog;
  readonly perform: (action: FleetProcessAction) => void;
}

/** Runs the state chart `charts/process.yaml` and disposes of resources on stop. */
export class FleetProcess {
  /** Resolves when the process has stopped. */
  readonly stopped: Promise<void>;
  /** Resources that are disposed of when the process stops. */
  readonly store = DisposableStore.create();

  private readonly lifecycle: ProcessLifecycle;
  private resolveStopped: () => void = () => undefined;

  private constructor(private readonly options: FleetProcessOptions) {
    this.stopped = new Promise(resolve => (this.resolveStopped = resolve));
    this.lifecycle = ProcessLifecycle.create({
      ...options,
      perform: action => this.perform(action),
      reportState: state => this.handleState(state),
    });
  }

  /** Creates a process in its starting state. */
  static create(options: FleetProcessOptions): FleetProcess {
    return new FleetProcess(options);
  }

  /** Current state of the process. */
  get state(): ProcessState {
    return this.lifecycle.state;
  }

  /** Applies an event; one without a transition from the current state is ignored. */
  send(event: ProcessEvent): void {
    this.lifecycle.send(event);
  }

  /** Logs the failure of a task. */
  readonly reportFailure = (failure: unknown): void =>
    this.options.log(FleetEvent.FAILURE, 'A task failed.', {err: failure});

  private perform(action: ProcessAction): void {
    if (action === ProcessAction.HAND_OVER) {
      this.lifecycle.send(ProcessEvent.RELEASED);
    } else {
      this.options.perform(action);
    }
  }

  private handleState(state: ProcessState): void {
    const {log, name} = this.options;
    switch (state) {
      case ProcessState.STARTING:
      case ProcessState.SERVING:
        log(FleetEvent.STARTED, `The ${name} is ${state}.`);
        break;
      case ProcessState.LEAVING:
      case ProcessState.DRAINING:
      case ProcessState.RELEASING:
        log(FleetEvent.STOPPING, `The ${name} is ${state}.`);
        break;
      case ProcessState.STOPPED:
        void this.release();
        break;
    }
  }

  private async release(): Promise<void> {
    try {
      await this.store.dispose();
    } catch (failure) {
      this.reportFailure(failure);
    }
    this.options.log(
      FleetEvent.STOPPED,
      `The ${this.options.name} has stopped.`,
    );
    this.resolveStopped();
  }
}
