/** Caller commands for sessions and jobs. */
import {UsageError} from '../../core/errors.js';
import type {AddCommands, CommandContext} from '../command_context.js';
import {addEntryOptions} from '../entry_options.js';
import type {EntryOptions} from '../entry_options.js';
import {ExitCode} from '../exit_code.js';
import {getJob, cancelJob, openSession, submitJob} from '../job_client.js';
import type {JobClient} from '../job_client.js';
import {parseJobFile} from '../job_file.js';
import {showJobProgress} from '../job_progress.js';
import type {CommandResult} from '../command_result.js';
import {
  interpretCancellation,
  interpretJob,
  interpretSession,
  interpretSubmission,
  readSession,
} from '../results/job_result.js';

interface SubmitOptions extends EntryOptions {
  readonly key?: string;
  readonly session?: string;
  readonly progress?: boolean;
}

/** Separates the session from the name of the job in an idempotency key. */
const KEY_SEPARATOR = '.';
const KEY_NAME_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;

/** Adds the commands `submit`, `session` and `job`. */
export const addJobCommands: AddCommands = (program, context, bindAction) => {
  const submit = addEntryOptions(
    program
      .command('submit')
      .description('submit a job and print its results')
      .argument('<file>', 'job in JSON or YAML; - is standard input')
      .option('--key <name>', 'name of the job, or a full key to resubmit it')
      .option('--session <token>', 'session under which the key is created')
      .option('--progress', 'show progress while the job runs'),
  );
  bindAction(submit, (file: string, options: SubmitOptions) =>
    runSubmission(context, file, options),
  );

  const session = addEntryOptions(
    program
      .command('session')
      .description('open a session, under which a caller creates its keys')
      .requiredOption('--team <name>', 'team that the session is for'),
  );
  bindAction(session, async (options: EntryOptions & {team: string}) =>
    interpretSession(await openSession({context, options}, options.team)),
  );

  const job = program.command('job').description('query or cancel a job');
  const get = addEntryOptions(
    job
      .command('get')
      .description('print the result of a job, or its progress')
      .argument('<key>', "the job's idempotency key"),
  );
  bindAction(get, async (key: string, options: EntryOptions) =>
    interpretJob(await getJob({context, options}, key)),
  );
  const cancel = addEntryOptions(
    job
      .command('cancel')
      .description('cancel a job; tasks that have started run to their end')
      .argument('<key>', "the job's idempotency key"),
  );
  bindAction(cancel, async (key: string, options: EntryOptions) =>
    interpretCancellation(await cancelJob({context, options}, key)),
  );
};

async function runSubmission(
  context: CommandContext,
  file: string,
  options: SubmitOptions,
): Promise<CommandResult> {
  const job = parseJobFile(file, context.readFile(file));
  const client = {context, options};
  const session = await findSession(client, job.team, options);
  if (typeof session !== 'string') return session;
  const key = composeKey(context, session, options.key);
  const stopProgress =
    options.progress === true ? showJobProgress(client, key) : () => {};
  const reply = await submitJob(client, job, key);
  stopProgress();
  return addKeyHint(interpretSubmission(reply, job.tasks.length), key);
}

/**
 * Returns the session to use, or the result if none could be opened. The session
 * is empty if the option `--key` is a full key, which contains one.
 */
async function findSession(
  client: JobClient,
  team: string,
  options: SubmitOptions,
): Promise<string | CommandResult> {
  if (isFullKey(options.key)) return '';
  if (options.session !== undefined) return options.session;
  const reply = await openSession(client, team);
  return readSession(reply)?.session ?? interpretSession(reply);
}

function composeKey(
  context: CommandContext,
  session: string,
  name: string | undefined,
): string {
  if (name !== undefined && isFullKey(name)) return name;
  const jobName = name ?? context.createId();
  if (!KEY_NAME_PATTERN.test(jobName)) {
    throw new UsageError(
      `Invalid job name "${jobName}"; allowed are 1 to 64 letters, digits, "_" and "-".`,
    );
  }
  return `${session}${KEY_SEPARATOR}${jobName}`;
}

function isFullKey(key: string | undefined): boolean {
  return key?.includes(KEY_SEPARATOR) === true;
}

/** Adds the key to an unknown outcome, so that the caller can query the job. */
function addKeyHint(result: CommandResult, key: string): CommandResult {
  const isUnknown = result.exitCode === ExitCode.UNKNOWN;
  return isUnknown
    ? {
        ...result,
        text: `${result.text}\nQuery the job: foxtailbay job get ${key}`,
        document: {...(result.document as object), key},
      }
    : result;
}
