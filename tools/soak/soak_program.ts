/** A program of the deployment: a child process that is started again when it ends. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {startTimer} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {ROOT, STOP_WITHIN_S} from './deploy_programs.js';

/** Command, files and callbacks of a program. */
export interface SoakProgramOptions {
  readonly command: readonly string[];
  readonly settingsFile: string;
  /** File to which the output is appended. */
  readonly logFile: string;
  readonly reportStart: () => void;
  readonly reportEnd: () => void;
  /** Receives how the process ended without having been asked to. */
  readonly reportOwnEnd: (detail: string) => void;
}

/** Time in milliseconds after which a process that ended by itself starts again. */
const RESTART_DELAY_MS = 500;

const MS_PER_S = 1000;
const SETTINGS_VARIABLE = 'FOXTAILBAY_BOOT';

/** Children of this process, which end with it. */
const RUNNING_CHILDREN = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of RUNNING_CHILDREN) child.kill('SIGKILL');
});

/** Owns the process of one program. */
export class SoakProgram {
  private readonly store = DisposableStore.create();
  private child: ChildProcess | undefined;
  private resolveEnd: () => void = () => undefined;
  /** Time until the next start, if the end of the process has been asked for. */
  private restartDelayMs: number | undefined;

  private constructor(private readonly options: SoakProgramOptions) {}

  /** Starts a program. */
  static create(options: SoakProgramOptions): SoakProgram {
    const program = new SoakProgram(options);
    program.start();
    return program;
  }

  /** Sends a signal to the process, if there is one. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Ends the process by a signal, and starts it again `delayMs` after its end. */
  restart(name: 'SIGTERM' | 'SIGKILL', delayMs: number): void {
    const {child} = this;
    if (child === undefined) return;
    this.restartDelayMs ??= delayMs;
    child.kill(name);
    if (name === 'SIGKILL') return;
    this.store.add(
      startTimer(STOP_WITHIN_S * MS_PER_S, () => child.kill('SIGKILL')),
    );
  }

  /** Kills the process and waits for its end; it does not start again. */
  async close(): Promise<void> {
    const {child} = this;
    const ended = new Promise<void>(resolve => (this.resolveEnd = resolve));
    await this.store.dispose();
    if (child === undefined) return;
    child.kill('SIGKILL');
    await ended;
  }

  private start(): void {
    const {command, settingsFile, logFile, reportStart} = this.options;
    const log = openSync(logFile, 'a');
    const [program, ...programArguments] = command;
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, programArguments, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, [SETTINGS_VARIABLE]: settingsFile},
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.child = child;
    this.restartDelayMs = undefined;
    RUNNING_CHILDREN.add(child);
    child.once('exit', (code, signal) =>
      this.handleExit(child, `${code ?? signal}`),
    );
    reportStart();
  }

  private handleExit(child: ChildProcess, detail: string): void {
    RUNNING_CHILDREN.delete(child);
    this.child = undefined;
    if (this.store.isDisposed) return this.resolveEnd();
    const {reportEnd, reportOwnEnd} = this.options;
    reportEnd();
    if (this.restartDelayMs === undefined) reportOwnEnd(detail);
    const delayMs = this.restartDelayMs ?? RESTART_DELAY_MS;
    this.store.add(startTimer(delayMs, () => this.start()));
  }
}
