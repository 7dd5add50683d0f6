/** Commands of operators on data centres and the fleet. */
import type {Command} from 'commander';
import {ServiceState} from '../../records/record.js';
import {
  addAdministrationOptions,
  changeService,
  createAdministrationClient,
  getDataCentre,
  getStatus,
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
import {ReplyKind} from '../http_exchange.js';
import {readRevision, waitForRevision} from '../revision_wait.js';
import type {Verdict} from '../verdict.js';
import {
  judgeChange,
  judgeWait,
  readChange,
} from '../verdicts/change_verdict.js';
import {
  judgeDataCentre,
  judgeStatus,
  judgeTargets,
} from '../verdicts/status_verdict.js';

interface ServiceOptions extends AdministrationOptions {
  readonly wait?: boolean;
}

const DESCRIPTIONS: Readonly<Record<ServiceState, string>> = {
  [ServiceState.OUT]: 'take a data centre out of service',
  [ServiceState.IN]: 'put a data centre back in service',
};

/** Adds `datacentre`, `status` and `targets`. */
export const addFleetCommands: AddCommands = (program, context, bindAction) => {
  const dataCentre = program
    .command('datacentre')
    .description('take data centres in and out of service');
  for (const service of [ServiceState.OUT, ServiceState.IN]) {
    addServiceCommand(dataCentre, service, context, bindAction);
  }
  const state = addAdministrationOptions(
    dataCentre
      .command('status')
      .description('tell whether a data centre is in service')
      .argument('<name>', 'name of the data centre'),
  );
  bindAction(state, async (name: string, options: AdministrationOptions) =>
    judgeDataCentre(
      await getDataCentre(createAdministrationClient(context, options), name),
    ),
  );
  const status = addAdministrationOptions(
    program.command('status').description('show processes and targets'),
  );
  bindAction(status, async (options: AdministrationOptions) =>
    judgeStatus(await getStatus(createAdministrationClient(context, options))),
  );
  const targets = addAdministrationOptions(
    program.command('targets').description('list the targets'),
  );
  bindAction(targets, async (options: AdministrationOptions) =>
    judgeTargets(await getStatus(createAdministrationClient(context, options))),
  );
};

function addServiceCommand(
  dataCentre: Command,
  service: ServiceState,
  context: CommandContext,
  bindAction: BindAction,
): void {
  const command = addAdministrationOptions(
    dataCentre
      .command(service)
      .description(DESCRIPTIONS[service])
      .argument('<name>', 'name of the data centre')
      .option('--wait', 'wait until every process has it in force'),
  );
  bindAction(command, (name: string, options: ServiceOptions) =>
    runServiceChange(
      createAdministrationClient(context, options),
      name,
      service,
      options.wait === true,
    ),
  );
}

async function runServiceChange(
  client: AdministrationClient,
  name: string,
  service: ServiceState,
  isWaited: boolean,
): Promise<Verdict> {
  const reply = await changeService(client, name, service);
  const verdict = judgeChange(reply, `${name} ${service}`);
  if (reply.kind === ReplyKind.LOST) {
    const hint = `Ask what stands: foxtailbay datacentre status ${name}`;
    return {...verdict, text: `${verdict.text}\n${hint}`};
  }
  const revision = readChange(reply)?.revision;
  if (!isWaited || revision === undefined) return verdict;
  return judgeWait(
    readRevision(await waitForRevision(client, revision)),
    verdict,
  );
}
