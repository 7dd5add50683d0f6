/** What the commands are given: every way in or out of the program. */
import type {Command} from 'commander';
import type {ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {SendRequest} from './http_exchange.js';
import type {Terminal} from './terminal.js';
import type {CommandResult} from './verdict.js';

/** The functions that commands call. */
export interface CommandContext {
  readonly send: SendRequest;
  readonly terminal: Terminal;
  /**
   * Reads a whole file; `-` is standard input.
   *
   * @throws UsageError if it cannot be read.
   */
  readonly readFile: (path: string) => string;
  readonly startTimer: StartTimer;
  readonly readMonotonicMs: ReadMonotonicMs;
  /** Draws a name that no other call draws. */
  readonly drawName: () => string;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Who calls, for the records' history. */
  readonly userName: string;
}

/** Registers what a command does; the verdict is printed when it ends. */
export type BindAction = <A extends unknown[]>(
  command: Command,
  run: (...parameters: A) => CommandResult | Promise<CommandResult>,
) => void;

/** Adds commands to the program. */
export type AddCommands = (
  program: Command,
  context: CommandContext,
  bindAction: BindAction,
) => void;
