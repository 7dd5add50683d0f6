/** Starts, signals and monitors one child process. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {Chart} from '../../src/lib/core/chart.js';
import {readChart} from '../../src/lib/core/chart_file.js';
import {ChartInstance} from '../../src/lib/core/chart_instance.js';
import type {StartTimer} from '../../src/lib/core/clock.js';
import {Task} from '../../src/lib/core/task.js';
import {ScenarioError} from './scenario_error.js';

/** States of a child process; see `charts/child_process.yaml`. */
export enum ProcessState {
  ABSENT = 'absent',
  STARTING = 'starting',
  SERVING = 'serving',
  FROZEN = 'frozen',
  ENDING = 'ending',
  ENDED = 'ended',
}

/** Events of the child process chart. */
export enum ProcessEvent {
  START = 'start',
  READY = 'ready',
  EXITED = 'exited',
  FREEZE = 'freeze',
  THAW = 'thaw',
  STOP = 'stop',
  KILL = 'kill',
  READINESS_TIMEOUT = 'timer.readiness',
}

/** An event, with a callback that receives whether the chart handled it. */
interface ProcessMessage {
  readonly event: ProcessEvent;
  readonly settle?: (isHandled: boolean, state: ProcessState) => void;
}

/** Exit code or signal with which a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: string | null;
}

/** Command line, output file and timers of a child process. */
export interface ProcessOptions {
  readonly name: string;
  readonly program: string;
  readonly programArguments: readonly string[];
  /** File to which standard output and standard error are appended. */
  readonly outputFile: string;
  readonly startTimer: StartTimer;
}

const READINESS_TIMEOUT_MS = 15_000;
const MAILBOX_CAPACITY = 64;

const CHART = Chart.create(readChart('child_process'), {
  states: ProcessState,
  events: ProcessEvent,
  actions: [
    'spawn',
    'reportReady',
    'reportEnd',
    'signalKill',
    'signalFreeze',
    'signalThaw',
    'signalStop',
  ],
});

/** Running child processes, which are killed when this process exits. */
const RUNNING_PROCESSES = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of RUNNING_PROCESSES) child.kill('SIGKILL');
});

/**
 * Owns one child process, which may be started and ended repeatedly.
 *
 * Events are posted; an event that the chart does not handle in the current
 * state is an error in the scenario and rejects the call that posted it.
 */
export class ChildProcessTask {
  private readonly task: Task<ProcessMessage>;
  private readonly instance: ChartInstance<ProcessState, ProcessEvent>;
  private child: ChildProcess | undefined;
  private lastEnd: ProcessEnd = {code: null, signal: null};
  private waiters: Array<() => void> = [];

  private constructor(private readonly options: ProcessOptions) {
    this.task = Task.create<ProcessMessage>({
      name: options.name,
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: () => this.notifyWaiters(),
    });
    this.instance = ChartInstance.create(CHART, {
      startNamedTimer: (_, fire) =>
        options.startTimer(READINESS_TIMEOUT_MS, fire),
      fire: event => this.task.post({event: event as ProcessEvent}),
      perform: action => this.perform(action),
    });
    this.task.store.add(() => this.instance.stopTimers());
  }

  /** Creates the task; `start` starts the process. */
  static create(options: ProcessOptions): ChildProcessTask {
    return new ChildProcessTask(options);
  }

  /** State of the current incarnation. */
  get state(): ProcessState {
    return this.instance.state;
  }

  /** Process id of the current incarnation, 0 if there is none. */
  get pid(): number {
    return this.child?.pid ?? 0;
  }

  /** Starts the process and resolves when it is ready. */
  async start(): Promise<void> {
    await this.send(ProcessEvent.START);
    await this.awaitState(
      state => state === ProcessState.SERVING || state === ProcessState.ENDED,
    );
    if (this.state === ProcessState.ENDED) {
      throw new ScenarioError(
        `${this.options.name} exited with ${this.formatEnd()} before it was ` +
          `ready; see ${this.options.outputFile}.`,
      );
    }
  }

  /**
   * Posts an event and resolves when it has been handled.
   *
   * @throws ScenarioError if the chart does not handle it in the current state.
   */
  send(event: ProcessEvent): Promise<void> {
    return new Promise((resolve, reject) => {
      const settle = (isHandled: boolean, state: ProcessState) => {
        if (isHandled) return resolve();
        const {name} = this.options;
        const text = `${name} does not accept "${event}" in state "${state}".`;
        reject(new ScenarioError(text));
      };
      this.task.post({event, settle});
    });
  }

  /** Resolves with the exit code or signal of the current incarnation. */
  async awaitEnd(): Promise<ProcessEnd> {
    await this.awaitState(
      state => state === ProcessState.ENDED || state === ProcessState.ABSENT,
    );
    return this.lastEnd;
  }

  /** Kills the process, waits for its end and releases everything. */
  async dispose(): Promise<void> {
    if (
      this.state !== ProcessState.ABSENT &&
      this.state !== ProcessState.ENDED
    ) {
      await this.send(ProcessEvent.KILL);
      await this.awaitEnd();
    }
    await this.task.stop();
  }

  private awaitState(test: (state: ProcessState) => boolean): Promise<void> {
    return new Promise(resolve => {
      const check = () => {
        if (test(this.state)) resolve();
        else this.waiters.push(check);
      };
      check();
    });
  }

  private handle({event, settle}: ProcessMessage): void {
    const before = this.state;
    const {isHandled} = this.instance.send(event);
    settle?.(isHandled, before);
    this.notifyWaiters();
  }

  private notifyWaiters(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const notify of waiters) notify();
  }

  private perform(action: string): void {
    switch (action) {
      case 'spawn':
        return this.spawnProcess();
      case 'signalKill':
        return this.signalProcess('SIGKILL');
      case 'signalFreeze':
        return this.signalProcess('SIGSTOP');
      case 'signalThaw':
        return this.signalProcess('SIGCONT');
      case 'signalStop':
        return this.signalProcess('SIGTERM');
      default:
        return undefined;
    }
  }

  private signalProcess(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  private spawnProcess(): void {
    const {program, programArguments, outputFile} = this.options;
    const output = createWriteStream(outputFile, {flags: 'a'});
    const child = spawn(process.execPath, [program, ...programArguments], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    RUNNING_PROCESSES.add(child);
    child.stderr.pipe(output, {end: false});
    child.stdout.pipe(output, {end: false});
    createInterface({input: child.stdout}).on('line', line => {
      if (isReadyLine(line)) this.task.post({event: ProcessEvent.READY});
    });
    child.once('close', (code, signal) => {
      RUNNING_PROCESSES.delete(child);
      output.end();
      this.lastEnd = {code, signal};
      this.task.post({event: ProcessEvent.EXITED});
    });
  }

  private formatEnd(): string {
    return this.lastEnd.signal ?? `code ${this.lastEnd.code}`;
  }
}

/** Returns whether a line of output is the `ready` event. */
export function isReadyLine(line: string): boolean {
  if (!line.includes('"ready"')) return false;
  try {
    return (JSON.parse(line) as {event?: string}).event === 'ready';
  } catch {
    return false;
  }
}
