/** Program: relay that delays, holds and closes TCP connections on loopback. */
import {program} from 'commander';
import {RelayServer} from './relay_server.js';
import {parseNumber, runStandIn} from './run_stand_in.js';
import {parseAddress} from './tcp_listener.js';

interface Options {
  readonly listen: number;
  readonly to: string;
  readonly delayMs: number;
  readonly control: number;
}

program
  .name('relay')
  .requiredOption('--to <address>', 'host:port of the server behind the relay')
  .option('--listen <number>', 'port, 0 for any', parseNumber, 0)
  .option('--delay-ms <number>', 'delay of each direction', parseNumber, 0)
  .option('--control <number>', 'port of POST /control', parseNumber, 0)
  .parse();

const options = program.opts<Options>();

await runStandIn(
  () =>
    RelayServer.create({
      port: options.listen,
      controlPort: options.control,
      to: parseAddress(options.to),
      delayMs: options.delayMs,
    }),
  relay => ({control: relay.controlPort}),
);
