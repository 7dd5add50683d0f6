/** Runs a case: prepares the system, plays it, judges it, ends everything. */
import {dirname, join} from 'node:path';
import {createRecord} from './record.mjs';
import {Runner} from './runner.mjs';
import {Store} from './store.mjs';
import {CannotRun, createConfiguration, sleep, System} from './system.mjs';

const HELD = 0;
const COULD_NOT_RUN = 2;
/** Made 1 by `run.sh`, so that an uncaught failure, which exits with 1, is not taken for it. */
const BROKEN = 10;
const LIMIT_MS = 112_000;

/** Time in milliseconds for agents to link to the entries, as in a site file. */
const LEAD_MS = 4000;

/**
 * @param file Path of the case's main file; `record.txt` is written beside it.
 * @param options `entries`, `runners` (a list of options), `configuration`,
 *     `beforeTraffic` (called when the programs have started).
 * @param play Plays the case; returns the violations found, as lines.
 */
export async function runCase(file, options, play) {
  const record = createRecord(join(dirname(file), 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  const store = new Store();
  const runners = [];
  let system;
  let code = COULD_NOT_RUN;
  process.once('exit', () => system?.kill());
  process.once('uncaughtException', failure => {
    record(`the case could not run: ${failure.stack}`);
    process.exit(COULD_NOT_RUN);
  });
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => {
      void system?.close().then(() => process.exit(COULD_NOT_RUN));
    });
  }
  const limit = setTimeout(() => {
    record('the time limit has passed');
    void system?.close().then(() => process.exit(COULD_NOT_RUN));
  }, LIMIT_MS);
  try {
    system = await System.create(record);
    for (const role of ['entry', 'agent']) {
      const {host, port} = system.storeAddress(role);
      await store.open(host, port);
    }
    const configuration = options.configuration ?? createConfiguration();
    store.putText('op/config', JSON.stringify(configuration));
    for (let entry = 1; entry <= options.entries; entry += 1) {
      system.start('entry', entry, {seeds: options.entries});
    }
    for (const [index, runnerOptions] of options.runners.entries()) {
      const number = index + 1;
      const host = system.agentHost(number);
      const {zone = 'zone-a'} = runnerOptions;
      system.start('agent', number, {seeds: options.entries, zone});
      const runner = new Runner({
        id: `i-${number}${Math.random().toString(16).slice(2, 9)}`,
        host,
        port: system.ports.app,
        control: `${host}:${system.ports.control}`,
        service: 'desk',
        zone: 'zone-a',
        cpu: 16_000,
        record,
        ...runnerOptions,
      });
      runners.push(runner);
      await runner.open();
    }
    for (let entry = 1; entry <= options.entries; entry += 1) {
      await system.awaitReady(entry);
    }
    options.beforeTraffic?.({system, store, record, hasTrouble});
    await sleep(LEAD_MS);
    const violations = await play({system, store, runners, record, hasTrouble});
    for (const line of violations) record(`BROKEN: ${line}`);
    record(violations.length > 0 ? 'the rule was broken' : 'the rule held');
    code = violations.length > 0 ? BROKEN : HELD;
  } catch (failure) {
    record(`the case could not run: ${failure?.stack ?? failure}`);
    if (!(failure instanceof CannotRun)) console.error(failure);
  }
  clearTimeout(limit);
  for (const runner of runners) runner.crash('the case ends');
  store.close();
  await system?.close();
  process.exit(code);
}
