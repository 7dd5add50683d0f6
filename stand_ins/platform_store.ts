/** Program: stand-in for the platform's key-value service. */
import {program} from 'commander';
import {readMonotonicMs} from '../src/lib/core/clock.js';
import {createIncarnation} from '../src/lib/core/identity.js';
import {DEFAULT_RATE_LIMITS} from './call_counter.js';
import {PlatformStoreServer} from './platform_store_server.js';
import {parseNumber, runStandIn} from './run_stand_in.js';

interface Options {
  readonly port: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  readonly history: number;
  readonly leasesExpireInOutage: boolean;
}

const {writesPerSecond, readsPerSecond} = DEFAULT_RATE_LIMITS;

program
  .name('platform_store')
  .option('--port <number>', 'port, 0 for any', parseNumber, 0)
  .option(
    '--writes-per-second <number>',
    'rate limit',
    parseNumber,
    writesPerSecond,
  )
  .option(
    '--reads-per-second <number>',
    'rate limit',
    parseNumber,
    readsPerSecond,
  )
  .option('--history <number>', 'changes retained', parseNumber, 10_000)
  .option('--leases-expire-in-outage', 'expire leases while down', false)
  .parse();

const options = program.opts<Options>();

await runStandIn(() =>
  PlatformStoreServer.create({
    port: options.port,
    limits: options,
    historyLimit: options.history,
    leasesExpireInOutage: options.leasesExpireInOutage,
    readMonotonicMs,
    createLeaseId: createIncarnation,
  }),
);
