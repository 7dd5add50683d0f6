/** The command that prints completion scripts. */
import {Argument} from 'commander';
import type {AddCommands} from '../command_context.js';
import {formatCompletion, Shell} from '../completion.js';
import {createSuccess} from '../command_result.js';

/** Adds the command `completion`. */
export const addCompletionCommand: AddCommands = (
  program,
  _context,
  bindAction,
) => {
  const completion = program
    .command('completion')
    .description('print a completion script for a shell')
    .addArgument(
      new Argument('<shell>', 'shell that runs the script').choices(
        Object.values(Shell),
      ),
    );
  bindAction(completion, (shell: Shell) => {
    const script = formatCompletion(program, shell);
    return createSuccess(script, {shell, script});
  });
};
