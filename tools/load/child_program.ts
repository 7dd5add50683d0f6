/** Starts and stops the child processes of the load tool. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {RequestError} from '../../src/lib/core/errors.js';
import {startTimer} from '../../src/lib/core/clock.js';

/** Program to start, its command-line options and its log file. */
export interface ProgramOptions {
  /** Path below the build folder, without `.js`. */
  readonly program: string;
  readonly options: readonly string[];
  /** File to which standard output and standard error are appended. */
  readonly logFile: string;
}

/** JSON line that a program prints once it accepts requests. */
export type ReadyLine = Readonly<Record<string, unknown>>;

const READY_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 10_000;

/** Running child processes; they are killed when this process exits. */
const runningChildren = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => process.exit(1));
}

/** A child process of this one, addressed only by its process id. */
export class ChildProgram {
  private constructor(
    private readonly child: ChildProcess,
    private readonly exited: Promise<void>,
    /** Fields of the ready line, such as the port. */
    readonly ready: ReadyLine,
  ) {}

  /**
   * Starts a program and waits for its ready line.
   *
   * @throws RequestError if it exits first or is not ready in time.
   */
  static async create(programOptions: ProgramOptions): Promise<ChildProgram> {
    const file = new URL(`../../${programOptions.program}.js`, import.meta.url);
    const child = spawn(
      process.execPath,
      [file.pathname, ...programOptions.options],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const log = createWriteStream(programOptions.logFile, {flags: 'a'});
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    const exited = new Promise<void>(resolve =>
      child.once('exit', () => {
        runningChildren.delete(child);
        resolve();
      }),
    );
    runningChildren.add(child);
    const ready = await awaitReady(child, programOptions, exited);
    return new ChildProgram(child, exited, ready);
  }

  /** Process id. */
  get id(): number {
    return this.child.pid!;
  }

  /** Sends SIGKILL and waits for the process to exit. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Sends SIGTERM, and SIGKILL if the process does not exit in time. */
  async stop(): Promise<void> {
    if (this.child.exitCode !== null) return;
    this.child.kill('SIGTERM');
    const cancel = startTimer(STOP_TIMEOUT_MS, () =>
      this.child.kill('SIGKILL'),
    );
    await this.exited;
    cancel();
  }
}

async function awaitReady(
  child: ChildProcess,
  programOptions: ProgramOptions,
  exited: Promise<void>,
): Promise<ReadyLine> {
  const lines = createInterface({input: child.stdout!});
  let cancel = () => {};
  const ready = new Promise<ReadyLine>((resolve, reject) => {
    const fail = (reason: string) =>
      reject(
        new RequestError(`${programOptions.program} ${reason}; see its log.`),
      );
    lines.on('line', line => {
      const parsed = parseReadyLine(line);
      if (parsed !== undefined) resolve(parsed);
    });
    cancel = startTimer(READY_TIMEOUT_MS, () => {
      child.kill('SIGKILL');
      fail('did not print its ready line in time');
    });
    void exited.then(() => fail('exited before it was ready'));
  });
  try {
    return await ready;
  } finally {
    cancel();
    lines.removeAllListeners('line');
  }
}

function parseReadyLine(line: string): ReadyLine | undefined {
  try {
    const parsed = JSON.parse(line) as ReadyLine;
    return parsed.event === 'ready' ? parsed : undefined;
  } catch {
    return undefined;
  }
}
