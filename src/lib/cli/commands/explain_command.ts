/** The command that shows the timeline of a request from logs. */
import {printTimeline, readTimeline} from '../../observe/request_timeline.js';
import type {AddCommands} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {createSuccess} from '../command_result.js';

/** Adds the command `explain`. */
export const addExplainCommand: AddCommands = (
  program,
  context,
  bindAction,
) => {
  const command = program
    .command('explain')
    .description('show the timeline of a request from logs')
    .argument('<id>', 'id of the request or of its job')
    .argument('<files...>', 'logs of all processes; - is standard input');
  bindAction(command, (id: string, files: readonly string[]) => {
    const timeline = readTimeline(files.map(context.readFile), id);
    if (timeline.length > 0) {
      return createSuccess(printTimeline(timeline), timeline);
    }
    return {
      exitCode: ExitCode.FAILED,
      text: `No log line mentions ${id}: the request succeeded and was not sampled, its log lines were dropped, or it never arrived.`,
      document: [],
    };
  });
};
