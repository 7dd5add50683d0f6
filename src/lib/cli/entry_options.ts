/** Options of the commands that speak to an entry as callers do. */
import {InvalidArgumentError, Option} from 'commander';
import type {Command} from 'commander';

/** Options of every command for callers. */
export interface EntryOptions {
  /** Base URL of the entry's listener for callers. */
  readonly entry: string;
  /** Longest time to wait for an answer, in seconds. */
  readonly timeout: number;
}

const DEFAULT_ENTRY = 'http://127.0.0.1:7400';
const DEFAULT_TIMEOUT_S = 60;

/** Milliseconds in a second. */
export const MS_PER_S = 1000;

/** Adds the options of commands for callers. */
export function addEntryOptions(command: Command): Command {
  return command
    .addOption(
      new Option('--entry <url>', 'entry to speak to')
        .env('FOXTAILBAY_ENTRY')
        .default(DEFAULT_ENTRY),
    )
    .addOption(createTimeoutOption(DEFAULT_TIMEOUT_S));
}

/** Creates the option that bounds how long a command waits. */
export function createTimeoutOption(defaultSeconds: number): Option {
  return new Option('--timeout <seconds>', 'longest time to wait')
    .argParser(parseSeconds)
    .default(defaultSeconds);
}

function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (Number.isFinite(seconds) && seconds > 0) return seconds;
  throw new InvalidArgumentError('It must be a number of seconds above 0.');
}
