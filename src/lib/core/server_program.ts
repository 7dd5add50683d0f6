/** Command line shared by the servers. */
import {Command, CommanderError} from 'commander';
import {readFileSync} from 'node:fs';
import {FoxtailbayError} from './errors.js';
import {printSettings} from '../settings/print_settings.js';
import {readSettings} from '../settings/read_settings.js';
import type {SettingsSchema} from '../settings/settings_schema.js';

/** A server that a program runs until a stop is requested. */
export interface RunningServer {
  readonly start: () => Promise<void>;
  readonly requestStop: () => void;
  readonly stopped: Promise<void>;
}

/** Options of `runServerProgram`. */
export interface ServerProgramOptions<T> {
  readonly name: string;
  readonly description: string;
  readonly schema: SettingsSchema<T>;
  /** Creates the server; its modules are not loaded for `--check-config`. */
  readonly create: (settings: T) => Promise<RunningServer>;
}

/** Exit codes of the servers. */
export enum ServerExitCode {
  STOPPED = 0,
  FAILED = 1,
  USAGE = 2,
}

interface ServerFlags {
  readonly settings: string;
  readonly checkConfig?: boolean;
  readonly printConfig?: boolean;
}

/** Reads the version from `package.json`. */
export function readVersion(): string {
  const file = new URL('../../../../package.json', import.meta.url);
  const {version} = JSON.parse(readFileSync(file, 'utf8')) as {
    version: string;
  };
  return version;
}

/** Parses the command line, runs the server and returns the exit code. */
export async function runServerProgram<T>(
  options: ServerProgramOptions<T>,
  argv: readonly string[],
): Promise<ServerExitCode> {
  const command = new Command(options.name)
    .description(options.description)
    .version(readVersion())
    .requiredOption('--settings <file>', 'settings file (YAML)')
    .option('--check-config', 'check the settings file and exit')
    .option('--print-config', 'print the effective settings and exit')
    .exitOverride();
  try {
    command.parse([...argv]);
    return await serve(options, command.opts<ServerFlags>());
  } catch (failure) {
    return reportFailure(options.name, failure);
  }
}

async function serve<T>(
  options: ServerProgramOptions<T>,
  flags: ServerFlags,
): Promise<ServerExitCode> {
  const settings = readSettings(flags.settings, options.schema);
  if (flags.printConfig) {
    process.stdout.write(printSettings(settings, options.schema));
    return ServerExitCode.STOPPED;
  }
  if (flags.checkConfig) {
    process.stdout.write(`${flags.settings}: no errors found\n`);
    return ServerExitCode.STOPPED;
  }
  const server = await options.create(settings);
  process.on('SIGTERM', server.requestStop);
  process.on('SIGINT', server.requestStop);
  await server.start();
  await server.stopped;
  return ServerExitCode.STOPPED;
}

function reportFailure(name: string, failure: unknown): ServerExitCode {
  if (failure instanceof CommanderError) {
    return failure.exitCode === 0
      ? ServerExitCode.STOPPED
      : ServerExitCode.USAGE;
  }
  if (failure instanceof FoxtailbayError) {
    process.stderr.write(`${name}: ${failure.message} [${failure.code}]\n`);
    return ServerExitCode.FAILED;
  }
  throw failure;
}
