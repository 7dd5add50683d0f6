/** Programs that the load tool starts and stops. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {RequestError} from '../../src/lib/core/errors.js';
import {startTimer} from '../../src/lib/core/clock.js';

/** What is started. */
export interface ProgramStart {
  /** Path below the build folder, without `.js`. */
  readonly program: string;
  readonly options: readonly string[];
  /** File that takes everything the program prints. */
  readonly logFile: string;
}

/** The line with which a program says that it serves. */
export type ReadyLine = Readonly<Record<string, unknown>>;

const READY_WITHIN_MS = 30_000;
const STOP_WITHIN_MS = 10_000;

/** Processes that run, which end with this one. */
const running = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => process.exit(1));
}

/** One process that was started here, known by its id alone. */
export class ChildProgram {
  private constructor(
    private readonly child: ChildProcess,
    private readonly exited: Promise<void>,
    /** What the program said when it was ready. */
    readonly ready: ReadyLine,
  ) {}

  /** Starts a program and waits until it is ready. */
  static async create(start: ProgramStart): Promise<ChildProgram> {
    const file = new URL(`../../${start.program}.js`, import.meta.url);
    const child = spawn(process.execPath, [file.pathname, ...start.options], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(start.logFile, {flags: 'a'});
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    const exited = new Promise<void>(resolve =>
      child.once('exit', () => {
        running.delete(child);
        resolve();
      }),
    );
    running.add(child);
    const ready = await awaitReady(child, start, exited);
    return new ChildProgram(child, exited, ready);
  }

  /** Id of the process. */
  get id(): number {
    return this.child.pid!;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Asks the process to stop; kills it if it does not. */
  async stop(): Promise<void> {
    if (this.child.exitCode !== null) return;
    this.child.kill('SIGTERM');
    const cancel = startTimer(STOP_WITHIN_MS, () => this.child.kill('SIGKILL'));
    await this.exited;
    cancel();
  }
}

async function awaitReady(
  child: ChildProcess,
  start: ProgramStart,
  exited: Promise<void>,
): Promise<ReadyLine> {
  const lines = createInterface({input: child.stdout!});
  let cancel = () => {};
  const ready = new Promise<ReadyLine>((resolve, reject) => {
    const fail = (what: string) =>
      reject(new RequestError(`${start.program} ${what}; see its log.`));
    lines.on('line', line => {
      const parsed = parseReady(line);
      if (parsed !== undefined) resolve(parsed);
    });
    cancel = startTimer(READY_WITHIN_MS, () => {
      child.kill('SIGKILL');
      fail('was not ready in time');
    });
    void exited.then(() => fail('ended before it was ready'));
  });
  try {
    return await ready;
  } finally {
    cancel();
    lines.removeAllListeners('line');
  }
}

function parseReady(line: string): ReadyLine | undefined {
  try {
    const parsed = JSON.parse(line) as ReadyLine;
    return parsed.event === 'ready' ? parsed : undefined;
  } catch {
    return undefined;
  }
}
