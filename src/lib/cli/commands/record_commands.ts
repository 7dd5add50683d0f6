/** Operator commands for configuration records. */
import type {Command} from 'commander';
import {
  addAdministrationOptions,
  createAdministrationClient,
  getHistory,
  getRecord,
  listRecords,
} from '../administration_client.js';
import type {
  AdministrationClient,
  AdministrationOptions,
} from '../administration_client.js';
import type {
  AddCommands,
  BindAction,
  CommandContext,
} from '../command_context.js';
import type {ChangeDocument} from '../administration_documents.js';
import {ExitCode} from '../exit_code.js';
import {applyRecord, isFoundOrAbsent} from '../record_changes.js';
import {compareRecord} from '../record_difference.js';
import {parseIdentity, parseRecordFile} from '../record_file.js';
import type {RecordDraft} from '../record_file.js';
import {readRevision, waitForRevision} from '../revision_wait.js';
import type {CommandResult} from '../command_result.js';
import {
  mergeResults,
  interpretWait,
  readRecord,
} from '../results/change_result.js';
import {Effect, interpretFailure} from '../results/problem.js';
import {
  describeDifferences,
  checkDraft,
  interpretHistory,
  interpretRecord,
  interpretRecordList,
} from '../results/record_result.js';

interface ApplyOptions extends AdministrationOptions {
  readonly wait?: boolean;
}

/** Adds the command `records` with its subcommands. */
export const addRecordCommands: AddCommands = (
  program,
  context,
  bindAction,
) => {
  const records = program
    .command('records')
    .description('read, check and change the configuration records');
  addReadingCommands(records, context, bindAction);
  addFileCommands(records, context, bindAction);
};

function addReadingCommands(
  records: Command,
  context: CommandContext,
  bindAction: BindAction,
): void {
  const list = addAdministrationOptions(
    records
      .command('list')
      .description('list the records')
      .argument('[kind]', 'list only records of this kind'),
  );
  bindAction(
    list,
    async (kind: string | undefined, options: AdministrationOptions) =>
      interpretRecordList(
        await listRecords(createAdministrationClient(context, options), kind),
      ),
  );
  const get = addRecordArguments(
    records.command('get').description('print one record'),
  );
  bindAction(
    get,
    async (kind: string, name: string, options: AdministrationOptions) => {
      const client = createAdministrationClient(context, options);
      return interpretRecord(
        await getRecord(client, parseIdentity(kind, name)),
      );
    },
  );
  const history = addRecordArguments(
    records
      .command('history')
      .description('list the versions of one record, newest first'),
  );
  bindAction(
    history,
    async (kind: string, name: string, options: AdministrationOptions) => {
      const client = createAdministrationClient(context, options);
      return interpretHistory(
        await getHistory(client, parseIdentity(kind, name)),
      );
    },
  );
}

function addFileCommands(
  records: Command,
  context: CommandContext,
  bindAction: BindAction,
): void {
  const readDrafts = (file: string) =>
    parseRecordFile(file, context.readFile(file));
  const check = addFileArgument(
    records
      .command('check')
      .description(
        'check records against their schemas without contacting a server',
      ),
  );
  bindAction(check, (file: string) =>
    mergeResults(readDrafts(file).map(checkDraft)),
  );
  const diff = addAdministrationOptions(
    addFileArgument(
      records
        .command('diff')
        .description('show what would change if a file were applied'),
    ),
  );
  bindAction(diff, async (file: string, options: AdministrationOptions) => {
    const client = createAdministrationClient(context, options);
    return runForEach(readDrafts(file), draft => compareDraft(client, draft));
  });
  const apply = addAdministrationOptions(
    addFileArgument(
      records
        .command('apply')
        .description('write the records that differ, in the order of the file')
        .option('--wait', 'wait until every process has them in force'),
    ),
  );
  bindAction(apply, async (file: string, options: ApplyOptions) => {
    const drafts = readDrafts(file);
    const check = mergeResults(drafts.map(checkDraft));
    if (check.exitCode !== ExitCode.OK) return check;
    const client = createAdministrationClient(context, options);
    return runForEach(drafts, draft => applyDraft(client, draft, options));
  });
}

async function applyDraft(
  client: AdministrationClient,
  draft: RecordDraft,
  options: ApplyOptions,
): Promise<CommandResult> {
  const result = await applyRecord(client, draft);
  const {revision} = (result.document ?? {}) as Partial<ChangeDocument>;
  const isWaitNeeded = options.wait === true && result.exitCode === ExitCode.OK;
  if (!isWaitNeeded || revision === undefined) return result;
  return interpretWait(
    readRevision(await waitForRevision(client, revision)),
    result,
  );
}

async function compareDraft(
  client: AdministrationClient,
  draft: RecordDraft,
): Promise<CommandResult> {
  const reply = await getRecord(client, draft);
  return isFoundOrAbsent(reply)
    ? describeDifferences(draft, compareRecord(readRecord(reply), draft))
    : interpretFailure(reply, Effect.READS);
}

/** Handles drafts in sequence and stops after the first failure. */
async function runForEach(
  drafts: readonly RecordDraft[],
  handle: (draft: RecordDraft) => Promise<CommandResult>,
): Promise<CommandResult> {
  const results: CommandResult[] = [];
  for (const draft of drafts) {
    const result = await handle(draft);
    results.push(result);
    if (result.exitCode !== ExitCode.OK) break;
  }
  return mergeResults(results);
}

function addRecordArguments(command: Command): Command {
  return addAdministrationOptions(
    command
      .argument('<kind>', 'kind of the record')
      .argument('<name>', 'name of the record'),
  );
}

function addFileArgument(command: Command): Command {
  return command.argument('<file>', 'records in YAML; - is standard input');
}
