/** Program: stand-in for the platform's balancer. */
import {program} from 'commander';
import {BalancerServer} from './balancer_server.js';
import {parseNumber, runStandIn} from './run_stand_in.js';
import {parseAddress} from './tcp_listener.js';

interface Options {
  readonly port: number;
  readonly entries: string;
  readonly checkMs: number;
}

program
  .name('balancer')
  .requiredOption('--entries <addresses>', 'host:port, separated by commas')
  .option('--port <number>', 'port, 0 for any', parseNumber, 0)
  .option('--check-ms <number>', 'period of health checks', parseNumber, 200)
  .parse();

const options = program.opts<Options>();

await runStandIn(() =>
  BalancerServer.create({
    port: options.port,
    entries: options.entries.split(',').map(parseAddress),
    checkPeriodMs: options.checkMs,
  }),
);
