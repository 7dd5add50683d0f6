/** The I/O functions given to commands, and the types to register commands. */
import type {Command} from 'commander';
import type {ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {SendRequest} from './http_exchange.js';
import type {Terminal} from './terminal.js';
import type {CommandResult} from './command_result.js';

/** I/O and environment of a command; tests replace it by fakes. */
export interface CommandContext {
  readonly send: SendRequest;
  readonly terminal: Terminal;
  /**
   * Reads a file to its end; `-` is standard input.
   *
   * @throws UsageError if the file cannot be read.
   */
  readonly readFile: (path: string) => string;
  readonly startTimer: StartTimer;
  readonly readMonotonicMs: ReadMonotonicMs;
  /** Creates a unique identifier. */
  readonly createId: () => string;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Name of the operator, recorded in the records' history. */
  readonly userName: string;
}

/** Registers the function that runs a command; its result is then printed. */
export type BindAction = <A extends unknown[]>(
  command: Command,
  run: (...parameters: A) => CommandResult | Promise<CommandResult>,
) => void;

/** Adds a group of commands to the program. */
export type AddCommands = (
  program: Command,
  context: CommandContext,
  bindAction: BindAction,
) => void;
