/** The command that checks settings files. */
import {Option} from 'commander';
import {SettingsError} from '../../core/errors.js';
import {AGENT_SETTINGS_SCHEMA} from '../../settings/agent_settings.js';
import {ENTRY_SETTINGS_SCHEMA} from '../../settings/entry_settings.js';
import {printSettings} from '../../settings/print_settings.js';
import {readSettings} from '../../settings/read_settings.js';
import type {SettingsSchema} from '../../settings/settings_schema.js';
import type {AddCommands} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {createSuccess} from '../command_result.js';
import type {CommandResult} from '../command_result.js';

/** Kinds of settings file, each named after the program that reads it. */
export enum SettingsKind {
  ENTRY = 'entry',
  AGENT = 'agent',
}

interface CheckOptions {
  readonly kind: SettingsKind;
  readonly print?: boolean;
}

/** Adds the command `check-config`. */
export const addSettingsCommands: AddCommands = (
  program,
  _context,
  bindAction,
) => {
  const check = program
    .command('check-config')
    .description('check a settings file and list all errors')
    .argument('<file>', 'settings file')
    .addOption(
      new Option('--kind <kind>', 'program that the file is for')
        .choices(Object.values(SettingsKind))
        .makeOptionMandatory(),
    )
    .option('--print', 'print the settings with defaults and without secrets');
  bindAction(check, runCheck);
};

function runCheck(file: string, options: CheckOptions): CommandResult {
  return options.kind === SettingsKind.ENTRY
    ? checkFile(file, ENTRY_SETTINGS_SCHEMA, options)
    : checkFile(file, AGENT_SETTINGS_SCHEMA, options);
}

function checkFile<T>(
  file: string,
  schema: SettingsSchema<T>,
  {kind, print}: CheckOptions,
): CommandResult {
  try {
    const settings = readSettings(file, schema);
    const text = print
      ? printSettings(settings, schema)
      : `${file} is a valid settings file of kind ${kind}.`;
    return createSuccess(text, {file, kind, isValid: true});
  } catch (failure) {
    if (!(failure instanceof SettingsError)) throw failure;
    const [, ...mistakes] = failure.message.split('\n');
    return {
      exitCode: ExitCode.FAILED,
      text: failure.message,
      document: {file, kind, isValid: false, mistakes},
    };
  }
}
