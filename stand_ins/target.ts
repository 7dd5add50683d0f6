/** Program: stand-in for a target that announces itself to its local agent. */
import {program} from 'commander';
import {createIncarnation} from '../src/lib/core/identity.js';
import {parseNumber, runStandIn} from './run_stand_in.js';
import {TargetServer} from './target_server.js';

interface Options {
  readonly name: string;
  readonly agent: string;
  readonly port: number;
  readonly slots: number;
  readonly connections: number;
  readonly speed: number;
  readonly renewMs: number;
  readonly finishAbandoned: boolean;
}

const NANOSECONDS_PER_MS = 1e6;

program
  .name('target')
  .requiredOption('--name <name>', 'name of the target')
  .requiredOption('--agent <origin>', 'http://host:port of the agent')
  .option('--port <number>', 'port, 0 for any', parseNumber, 0)
  .option('--slots <number>', 'concurrent tasks', parseNumber, 8)
  .option('--connections <number>', 'concurrent connections', parseNumber, 64)
  .option('--speed <number>', 'divides run times', parseNumber, 1)
  .option('--renew-ms <number>', 'period of renewals', parseNumber, 1000)
  .option(
    '--finish-abandoned',
    'finish tasks whose client has disconnected',
    false,
  )
  .parse();

const options = program.opts<Options>();

await runStandIn(
  () =>
    TargetServer.create({
      name: options.name,
      instance: createIncarnation(),
      agent: options.agent,
      port: options.port,
      limits: {slots: options.slots, connections: options.connections},
      speed: options.speed,
      renewPeriodMs: options.renewMs,
      finishesAbandoned: options.finishAbandoned,
      readHostMs: () => Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS,
    }),
  () => ({name: options.name}),
);
