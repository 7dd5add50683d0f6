/**
 * Starts a small deployment on loopback addresses: the project's entries and agents
 * as processes, by the commands of the deploy file, beside stand-ins of the store
 * and of the runners.
 */
import {spawn} from 'node:child_process';
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {call} from './http.mjs';
import {Runner} from './runner.mjs';
import {Store} from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** Port of the metrics in the deploy file, the same on all machines. */
const METRICS_PORT = 9464;
const READY_TIMEOUT_MS = 15_000;
const EXIT_TIMEOUT_MS = 3000;

/** Host name and prefix of the one queue. */
export const QUEUE_HOST = 'jobs.example';
export const PREFIX = '/desk/';

/** Waits. */
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Creates a function that adds lines with their time to the record of a case. */
export function openRecord(path) {
  const startedAt = performance.now();
  writeFileSync(path, '');
  const file = openSync(path, 'a');
  return line => {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
    writeFileSync(file, `${seconds.padStart(8)} ${line}\n`);
  };
}

/** Waits until a condition holds; returns whether it did in time. */
export async function waitUntil(isTrue, timeoutMs) {
  const limit = performance.now() + timeoutMs;
  while (performance.now() < limit) {
    if (await isTrue()) return true;
    await sleep(50);
  }
  return false;
}

/** Listens for a moment; returns the port, or undefined if it is in use. */
async function tryPort(host, port) {
  const server = createServer();
  const isOpen = await new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => resolve(true));
  });
  if (!isOpen) return undefined;
  const address = server.address();
  await new Promise(resolve => server.close(resolve));
  return address.port;
}

/** Finds the first two parts of loopback addresses that no other run uses. */
async function findFreeNetwork() {
  for (;;) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}`;
    const hosts = [`${network}.1.1`, `${network}.2.1`];
    const ports = await Promise.all(
      hosts.map(host => tryPort(host, METRICS_PORT)),
    );
    if (ports.every(port => port !== undefined)) return network;
  }
}

function readCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('[roles.')[0];
  const [, command] = /^run = "(.*)"$/m.exec(section);
  return command.split(' ');
}

/** A deployment; `stop` ends all that it started. */
export class Fleet {
  processes = [];
  entries = [];
  runners = [];

  /**
   * Starts the store, `entries` entries and `agents` agents, each with a runner.
   *
   * @param options `entries`, `agents`, `capacity`, `readRunMs`, `record`, and, where
   *     they differ, `queue` with fields of the queue and `listLabels` of a runner.
   */
  static async start(options) {
    const fleet = new Fleet();
    fleet.options = options;
    fleet.folder = mkdtempSync(join(tmpdir(), 'review-3-'));
    fleet.network = await findFreeNetwork();
    const names = ['front', 'ready', 'control', 'app', 'link', 'store'];
    fleet.ports = {};
    const storeHost = `${fleet.network}.0.1`;
    for (const name of names) fleet.ports[name] = await tryPort(storeHost, 0);
    fleet.store = await Store.start(storeHost, fleet.ports.store);
    fleet.store.put(
      'op/config',
      JSON.stringify({
        version: 3,
        routes: [
          {
            name: 'work',
            host: QUEUE_HOST,
            prefix: PREFIX,
            type: 'non_idempotent',
            timeoutMs: 60_000,
            service: 'desk',
            priority: 0,
            maxAttempts: 3,
            stretch: 1.6,
            targetDurationMs: 60,
            ...options.queue,
          },
        ],
        services: [{name: 'desk', admissionCheck: false}],
        limits: {maxBodyBytes: 262_144},
      }),
    );
    for (let n = 0; n < options.entries; n += 1) fleet.spawnEntry();
    for (let n = 0; n < options.agents; n += 1) await fleet.addAgent();
    return fleet;
  }

  /** Returns whether all entries are ready and have their agents. */
  async waitUntilReady() {
    const isReady = await waitUntil(async () => {
      const answers = await Promise.all(
        this.entries.map(entry => this.checkReady(entry)),
      );
      return answers.every(status => status === 200);
    }, READY_TIMEOUT_MS);
    // Agents connect and take control of their runners; entries admit every job
    // in their first three seconds.
    await sleep(4500);
    return isReady;
  }

  async checkReady({ready}) {
    const {answer} = call({
      address: ready,
      method: 'GET',
      path: '/v1/ready',
      headers: {host: ready},
      timeoutMs: 1000,
    });
    return (await answer).status;
  }

  /** Starts another entry, as when a machine is added. */
  spawnEntry() {
    const number = this.entries.length + 1;
    const host = `${this.network}.1.${number}`;
    const {front, ready, control} = this.ports;
    const entry = {
      name: `front-${number}`,
      front: `${host}:${front}`,
      ready: `${host}:${ready}`,
      control: `${host}:${control}`,
    };
    this.entries.push(entry);
    entry.process = this.spawn('entry', entry.name, host, {
      role: 'entry',
      machineClass: 'front',
      serves: ['front', 'control'],
      listenAddrs: {
        front: entry.front,
        ready: entry.ready,
        control: entry.control,
      },
      limits: {cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100},
    });
    return entry;
  }

  /** Starts an agent and the runner of its machine. */
  async addAgent() {
    const {options, ports} = this;
    const number = this.runners.length + 1;
    const host = `${this.network}.2.${number}`;
    const control = `${host}:${ports.control}`;
    this.spawn('agent', `side-${number}`, host, {
      role: 'agent',
      machineClass: 'side',
      serves: ['side'],
      listenAddrs: {control},
      app: `${host}:${ports.app}`,
      limits: {cpuShare: 0.405, cores: 1, memoryMb: 218, maxFds: 4096},
    });
    const runner = await Runner.start({
      id: `i-${number}`,
      service: 'desk',
      zone: 'zone-a',
      host,
      port: ports.app,
      agent: control,
      capacity: options.capacity,
      labels: options.listLabels?.(number) ?? ['a', `r1-${number}`],
      heartbeatMs: 1500,
      readRunMs: options.readRunMs,
      record: options.recordRun ?? options.record,
    });
    this.runners.push(runner);
  }

  spawn(role, name, host, fields) {
    const settings = {
      nodeName: name,
      ip: host,
      zone: 'zone-a',
      region: 'region',
      zones: {'zone-a': 'region'},
      internalPortRange: [this.ports.link, this.ports.link + 15],
      seeds: [`${this.network}.1.1:${this.ports.control}`],
      bootstrap: true,
      dataDir: null,
      discovery: 'local',
      entry: 'vip',
      heartbeatIntervalMs: 1500,
      bounds: {
        contactMs: 3000,
        drainMs: 2000,
        graceS: 6,
        configApplyMs: 2000,
        evacuateMs: 5000,
        holdMaxMs: 1000,
        stopMs: 50,
        cancel_ms: 3000,
        visible_ms: 3000,
        status_s: 120,
        farX: 1.5,
        resendMs: 1300,
      },
      orders: 'call',
      platform: {
        address: this.store.address,
        form: 'kv',
        writesPerS: 400,
        readsPerS: 2000,
        historyS: 20,
        valueBytes: 1_048_576,
        ttlMinMs: 1000,
      },
      ...fields,
    };
    const path = join(this.folder, `${name}.yaml`);
    writeFileSync(path, JSON.stringify(settings));
    const [program, ...words] = readCommand(role);
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, FOXTAILBAY_BOOT: path},
      stdio: ['ignore', log, log],
    });
    const exited = new Promise(resolve => child.once('exit', resolve));
    child.once('exit', (code, signal) => {
      if (this.isStopping) return;
      this.options.record(`${name} has ended: ${code ?? signal}`);
    });
    const started = {name, child, exited};
    this.processes.push(started);
    return started;
  }

  /**
   * Submits a job as a client does; `sent.answer` resolves with its answer, and
   * `sent.request` can be destroyed.
   */
  submit(entry, id, {fields, deadlineMs}) {
    return call({
      address: entry.front,
      method: 'POST',
      path: PREFIX + id,
      headers: {host: QUEUE_HOST, 'deadline-ms': String(deadlineMs)},
      fields: {bestEffort: true, ...fields},
      timeoutMs: deadlineMs,
    });
  }

  /** Cancels a job. */
  cancel(entry, id) {
    return call({
      address: entry.front,
      method: 'DELETE',
      path: PREFIX + id,
      headers: {host: QUEUE_HOST},
      timeoutMs: 4000,
    });
  }

  /** Lists the tasks of a job that run now. */
  listRunning(id) {
    return this.runners
      .flatMap(runner => runner.listRunning())
      .filter(task => task.startsWith(`${id}.`));
  }

  /** Ends all processes and stand-ins. */
  async stop() {
    this.isStopping = true;
    for (const {child} of this.processes) child.kill('SIGCONT');
    for (const {child} of this.processes) child.kill('SIGTERM');
    const timer = setTimeout(() => {
      for (const {child} of this.processes) child.kill('SIGKILL');
    }, EXIT_TIMEOUT_MS);
    await Promise.all(this.processes.map(({exited}) => exited));
    clearTimeout(timer);
    for (const runner of this.runners) runner.stop();
    this.store.stop();
    if (process.env.KEEP_LOGS) console.error(this.folder);
    else rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** Runs a case and exits with its code. */
export async function runCase(options, play) {
  const {record} = options;
  let code = COULD_NOT_RUN;
  const fleet = await Fleet.start(options);
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => {
      void fleet.stop().then(() => process.exit(COULD_NOT_RUN));
    });
  }
  try {
    if (await fleet.waitUntilReady()) code = await play(fleet);
    else record('The deployment was not ready in time.');
  } catch (failure) {
    record(`The case failed: ${failure.stack}`);
  } finally {
    await fleet.stop();
  }
  const results = ['The rule held.', 'The rule was broken.', 'Could not run.'];
  record(results[code]);
  console.log(results[code]);
  process.exit(code);
}
