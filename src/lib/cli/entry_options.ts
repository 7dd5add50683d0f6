/** Options of the commands that call the API for callers. */
import {InvalidArgumentError, Option} from 'commander';
import type {Command} from 'commander';

/** Options shared by all caller commands. */
export interface EntryOptions {
  /** Base URL of the entry's listener for callers. */
  readonly entry: string;
  /** Wait limit for a response in seconds. */
  readonly timeout: number;
}

const DEFAULT_ENTRY = 'http://127.0.0.1:7400';
const DEFAULT_TIMEOUT_S = 60;

/** Milliseconds per second; converts the options of commands to timeouts. */
export const MS_PER_S = 1000;

/** Adds the options shared by all caller commands. */
export function addEntryOptions(command: Command): Command {
  return command
    .addOption(
      new Option('--entry <url>', 'base URL of the entry')
        .env('FOXTAILBAY_ENTRY')
        .default(DEFAULT_ENTRY),
    )
    .addOption(createTimeoutOption(DEFAULT_TIMEOUT_S));
}

/** Creates the `--timeout` option, which limits how long a command waits. */
export function createTimeoutOption(defaultSeconds: number): Option {
  return new Option('--timeout <seconds>', 'wait limit in seconds')
    .argParser(parseSeconds)
    .default(defaultSeconds);
}

function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (Number.isFinite(seconds) && seconds > 0) return seconds;
  throw new InvalidArgumentError(
    'Expected a number of seconds greater than 0.',
  );
}
