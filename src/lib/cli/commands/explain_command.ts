/** The command that tells the story of a request. */
import {printTimeline, readTimeline} from '../../observe/request_timeline.js';
import type {AddCommands} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {createSuccess} from '../verdict.js';

/** Adds `explain`. */
export const addExplainCommand: AddCommands = (
  program,
  context,
  bindAction,
) => {
  const command = program
    .command('explain')
    .description('tell from logs what became of a request, in order')
    .argument('<id>', "the request's id or its job's")
    .argument('<files...>', 'logs of all processes; - is standard input');
  bindAction(command, (id: string, files: readonly string[]) => {
    const timeline = readTimeline(files.map(context.readFile), id);
    if (timeline.length > 0)
      return createSuccess(printTimeline(timeline), timeline);
    return {
      exitCode: ExitCode.FAILED,
      text: `No line speaks of ${id}: it went well and was not sampled, its lines were left out, or it never arrived.`,
      document: [],
    };
  });
};
