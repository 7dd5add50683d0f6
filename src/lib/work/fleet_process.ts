/** The life of a process of the fleet: its stop, its lines in the log, its clean-up. */
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

/** What is left to a process to carry out: none hands anything over. */
export type FleetProcessAction = Exclude<
  ProcessAction,
  ProcessAction.HAND_OVER
>;

/** What the life of a process needs to be created. */
export interface FleetProcessOptions {
  /** What the process is called in the log, such as `entry`. */
  readonly name: string;
  /** How long a leaving process still takes new work, in milliseconds. */
  readonly noticeMs: number;
  /** How long a draining process waits for its work to end, in milliseconds. */
  readonly drainMs: number;
  readonly startTimer: StartTimer;
  readonly log: FleetLog;
  readonly perform: (action: FleetProcessAction) => void;
}

/** Follows `charts/process.yaml`, and releases what was gathered at its end. */
export class FleetProcess {
  /** Settles when the process has stopped. */
  readonly stopped: Promise<void>;
  /** What the process releases when it stops. */
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

  /** The state the process is in. */
  get state(): ProcessState {
    return this.lifecycle.state;
  }

  /** Takes an event; one that does not fit the state is ignored. */
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
