/** Operator commands for data centres, processes and targets. */
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
import type {CommandResult} from '../command_result.js';
import {
  interpretChange,
  interpretWait,
  readChange,
} from '../results/change_result.js';
import {
  interpretDataCentre,
  interpretStatus,
  interpretTargets,
} from '../results/status_result.js';

interface ServiceOptions extends AdministrationOptions {
  readonly wait?: boolean;
}

const DESCRIPTIONS: Readonly<Record<ServiceState, string>> = {
  [ServiceState.OUT]: 'take a data centre out of service',
  [ServiceState.IN]: 'put a data centre back in service',
};

/** Adds the commands `datacentre`, `status` and `targets`. */
export const addFleetCommands: AddCommands = (program, context, bindAction) => {
  const dataCentre = program
    .command('datacentre')
    .description('take data centres in and out of service');
  for (const service of [ServiceState.OUT, ServiceState.IN]) {
    addServiceCommand(dataCentre, service, context, bindAction);
  }
  const dataCentreStatus = addAdministrationOptions(
    dataCentre
      .command('status')
      .description('show whether a data centre is in service')
      .argument('<name>', 'name of the data centre'),
  );
  bindAction(
    dataCentreStatus,
    async (name: string, options: AdministrationOptions) =>
      interpretDataCentre(
        await getDataCentre(createAdministrationClient(context, options), name),
      ),
  );
  const status = addAdministrationOptions(
    program.command('status').description('show processes and targets'),
  );
  bindAction(status, async (options: AdministrationOptions) =>
    interpretStatus(
      await getStatus(createAdministrationClient(context, options)),
    ),
  );
  const targets = addAdministrationOptions(
    program.command('targets').description('list the targets'),
  );
  bindAction(targets, async (options: AdministrationOptions) =>
    interpretTargets(
      await getStatus(createAdministrationClient(context, options)),
    ),
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
  isWaitRequested: boolean,
): Promise<CommandResult> {
  const reply = await changeService(client, name, service);
  const result = interpretChange(reply, `${name} ${service}`);
  if (reply.kind === ReplyKind.LOST) {
    const hint = `Check the current state: foxtailbay datacentre status ${name}`;
    return {...result, text: `${result.text}\n${hint}`};
  }
  const revision = readChange(reply)?.revision;
  if (!isWaitRequested || revision === undefined) return result;
  return interpretWait(
    readRevision(await waitForRevision(client, revision)),
    result,
  );
}
