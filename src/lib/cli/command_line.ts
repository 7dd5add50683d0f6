/** The program `foxtailbay`: runs one command and prints its result. */
import {Command, CommanderError, Option} from 'commander';
import {ErrorCode, FoxtailbayError, UsageError} from '../core/errors.js';
import type {BindAction, CommandContext} from './command_context.js';
import {addChartCommands} from './commands/chart_commands.js';
import {addCompletionCommand} from './commands/completion_command.js';
import {addExplainCommand} from './commands/explain_command.js';
import {addFleetCommands} from './commands/fleet_commands.js';
import {addJobCommands} from './commands/job_commands.js';
import {addRecordCommands} from './commands/record_commands.js';
import {addSettingsCommands} from './commands/settings_commands.js';
import {ExitCode} from './exit_code.js';
import {OutputFormat} from './terminal.js';
import {printResult} from './command_result.js';
import type {CommandResult} from './command_result.js';

const EXIT_CODE_HELP = `
Exit codes:
  0  done
  1  the job failed, or a check found an error
  2  invalid command line
  3  refused: nothing ran and nothing was changed
  4  outcome unknown: something may have run or been changed
  5  unreachable: nothing was sent`;

/** Runs the command in `args` and returns the exit code of the program. */
export async function runCommandLine(
  args: readonly string[],
  version: string,
  context: CommandContext,
): Promise<ExitCode> {
  let result: CommandResult | undefined;
  const program = createProgram(version, context);
  const bindAction: BindAction = (command, run) => {
    command.action(async (...parameters: unknown[]) => {
      result = await run(...(parameters as never));
    });
  };
  addCommands(program, context, bindAction);
  try {
    await program.parseAsync(args, {from: 'user'});
  } catch (failure) {
    if (failure instanceof CommanderError) return chooseUsageExitCode(failure);
    result = describeThrown(failure);
  }
  if (result === undefined) return ExitCode.USAGE;
  const {output} = program.opts<{output: OutputFormat}>();
  printResult(result, output, context.terminal);
  return result.exitCode;
}

function createProgram(version: string, {terminal}: CommandContext): Command {
  return new Command('foxtailbay')
    .description('Submit jobs to foxtailbay and operate it.')
    .version(version)
    .addOption(
      new Option('--output <format>', 'output format')
        .choices(Object.values(OutputFormat))
        .default(OutputFormat.TEXT),
    )
    .addHelpText('after', EXIT_CODE_HELP)
    .showSuggestionAfterError()
    .exitOverride()
    .configureOutput({
      writeOut: text => terminal.write(text),
      writeErr: text => terminal.writeMessage(text),
    });
}

function addCommands(
  program: Command,
  context: CommandContext,
  bindAction: BindAction,
): void {
  const adders = [
    addJobCommands,
    addRecordCommands,
    addFleetCommands,
    addChartCommands,
    addSettingsCommands,
    addExplainCommand,
    addCompletionCommand,
  ];
  for (const add of adders) add(program, context, bindAction);
}

/** `--help` and `--version` also end parsing this way, but with exit code 0. */
function chooseUsageExitCode(failure: CommanderError): ExitCode {
  return failure.exitCode === 0 ? ExitCode.OK : ExitCode.USAGE;
}

function describeThrown(failure: unknown): CommandResult {
  const {message} = failure as Error;
  const code =
    failure instanceof FoxtailbayError
      ? (failure as unknown as {code: ErrorCode}).code
      : ErrorCode.INTERNAL;
  return {
    exitCode: failure instanceof UsageError ? ExitCode.USAGE : ExitCode.FAILED,
    text: message,
    document: {code, detail: message},
  };
}
