/**
 * A small deployment on loopback addresses: the project's own programs as separate
 * processes, with stand-ins for the platform's store and the runners.
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
import {request as createRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {openRunner} from './runner.mjs';
import {openStore} from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const ZONES = ['zone-a', 'zone-b'];
const SERVICE = 'runner-service';
const START_LIMIT_MS = 15_000;

export const HOST_NAME = 'desk.example';
export const PREFIX = '/jobs/';
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  coldOver: 1.5,
  coldSlack: 5,
  evacuateMs: 5000,
  recoveryS: 12,
  holdMaxMs: 1000,
  stopMs: 50,
  gangWaitMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  farX: 1.5,
  checkpointIntervalS: 0.5,
  restoreMs: 600,
  noticeMs: 4500,
  moveS: 1.5,
  upkeepS: 2,
  fencingEnforced: false,
  leaseMs: 3000,
  thawMs: 300,
  paceMs: 100,
  harmMs: 4000,
  resendMs: 1300,
};

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'r-1',
      host: HOST_NAME,
      prefix: PREFIX,
      type: 'non_idempotent',
      timeoutMs: 30_000,
      targetDurationMs: 60_000,
      priority: 0,
      service: SERVICE,
      maxAttempts: 3,
      stretch: 1.6,
    },
  ],
  services: [
    {
      name: SERVICE,
      healthPath: '/health',
      maxConnections: 64,
      protocol: 'h1',
      tls: false,
      coldStartS: 0,
      coldPerS: 0,
      admissionCheck: false,
      spare: false,
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 262_144,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
};

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('\n[')[0];
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

async function findFreePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** A request to an entry; `done` settles with the answer or the failure. */
export function send(address, method, path, options = {}) {
  const {fields, deadlineMs = 20_000} = options;
  const body = fields === undefined ? '' : JSON.stringify(fields);
  let request;
  const done = new Promise(resolve => {
    request = createRequest(
      `http://${address}${path}`,
      {
        method,
        agent: false,
        headers: {
          host: HOST_NAME,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          'deadline-ms': String(deadlineMs),
          'request-id': options.requestId ?? 'review',
        },
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', failure => resolve({failure: failure.message}));
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          resolve({status: response.statusCode, body: text});
        });
      },
    );
    request.on('error', failure => resolve({failure: failure.message}));
    request.end(body);
  });
  return {done, abort: () => request.destroy()};
}

/** Writes a line for each event of a play, with the time since its start. */
export class Recorder {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAt = performance.now();
    this.lines = [];
    this.events = [];
  }

  get nowMs() {
    return performance.now() - this.startedAt;
  }

  add(event) {
    const atMs = this.nowMs;
    this.events.push({atMs, ...event});
    const fields = Object.entries(event)
      .map(([name, value]) => `${name}=${value}`)
      .join(' ');
    this.lines.push(`${(atMs / 1000).toFixed(3)} s ${fields}`);
  }

  save() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

/** Starts `entries` entries and `runners` runners with their agents. */
export async function startFleet(options) {
  const {entries = 2, runners = 2, recorder, computeRunMs} = options;
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const net = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;
  const store = await openStore(`${net}.250`);
  const configuration = options.configuration ?? CONFIGURATION;
  store.put('op/config', JSON.stringify(configuration));
  const processes = [];
  const runnersOpen = [];
  const openRunnerAt = [];
  const closers = [() => store.close()];

  const hostOf = index => `${net}.${index + 1}`;
  const linkPort = await findFreePort(hostOf(0));
  const [front, ready, control, app] = [];
  const ports = {front, ready, control, app};
  for (const name of Object.keys(ports)) {
    let port = linkPort;
    while (port === linkPort || Object.values(ports).includes(port)) {
      port = await findFreePort(hostOf(0));
    }
    ports[name] = port;
  }
  const seeds = [];
  for (let index = 0; index < Math.min(3, entries); index += 1) {
    seeds.push(`${hostOf(index)}:${ports.control}`);
  }

  function createSettings(name, role, host, zone) {
    const isEntry = role === 'entry';
    const listenAddrs = {control: `${host}:${ports.control}`};
    if (isEntry) {
      listenAddrs.front = `${host}:${ports.front}`;
      listenAddrs.ready = `${host}:${ports.ready}`;
    }
    return {
      nodeName: name,
      role,
      machineClass: isEntry ? 'front' : 'side',
      serves: isEntry ? ['front', 'control'] : ['side'],
      ip: host,
      zone,
      region: 'region',
      zones: Object.fromEntries(ZONES.map(item => [item, 'region'])),
      listenAddrs,
      internalPortRange: [linkPort, linkPort + 15],
      seeds,
      bootstrap: true,
      lossCounts: false,
      limits: {
        cpuShare: isEntry ? 0.675 : 0.405,
        cores: 1,
        memoryMb: isEntry ? 350 : 218,
        maxFds: 4096,
        linkMbps: 1000,
        diskMb: 0,
      },
      dataDir: null,
      discovery: 'local',
      entry: 'vip',
      heartbeatIntervalMs: 1500,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched'],
      faultTolerance: {machines: 2, zones: 1, regions: 0},
      bounds: BOUNDS,
      orders: 'call',
      ...(isEntry ? {} : {app: `${host}:${ports.app}`, service: SERVICE}),
      platform: {
        address: store.address,
        form: 'kv',
        writesPerS: 400,
        readsPerS: 2000,
        historyS: 20,
        valueBytes: 1_048_576,
        ttlMinMs: 1000,
      },
    };
  }

  function startProgram(name, role, host, zone) {
    const file = join(folder, `${name}.yaml`);
    writeFileSync(file, JSON.stringify(createSettings(name, role, host, zone)));
    const [program, ...words] = readCommand(role);
    const log = openSync(join(folder, `${name}.log`), 'a');
    const child = spawn(
      program === 'node' ? process.execPath : program,
      words,
      {
        cwd: ROOT,
        env: {PATH: process.env.PATH, HOME: folder, FOXTAILBAY_BOOT: file},
        stdio: ['ignore', log, log],
      },
    );
    const handle = {name, child, isEnded: false};
    handle.ended = new Promise(resolve =>
      child.on('exit', (code, signal) => {
        handle.isEnded = true;
        recorder.add({event: 'exit', process: name, code, signal});
        resolve();
      }),
    );
    processes.push(handle);
    return handle;
  }

  const entryList = [];
  for (let index = 0; index < entries; index += 1) {
    const host = hostOf(index);
    const name = `front-${index + 1}`;
    const zone = ZONES[index % ZONES.length];
    const handle = startProgram(name, 'entry', host, zone);
    entryList.push({
      name,
      address: `${host}:${ports.front}`,
      ready: `${host}:${ports.ready}`,
      process: handle,
    });
  }
  const agentList = [];
  for (let index = 0; index < runners; index += 1) {
    const host = hostOf(entries + index);
    const name = `side-${index + 1}`;
    const zone = ZONES[index % ZONES.length];
    const handle = startProgram(name, 'agent', host, zone);
    agentList.push({
      name,
      process: handle,
    });
    const runnerOptions = {
      host,
      port: ports.app,
      control: `${host}:${ports.control}`,
      id: `i-${name}`,
      service: SERVICE,
      zone,
      capacity: {cpu: 16_000, memMb: 32_768, gpus: 0},
      labels: ['a', `r-${index}`],
      computeRunMs,
      report: event => recorder.add(event),
      ...(options.runnerOptions?.(index) ?? {}),
    };
    openRunnerAt.push(async () => {
      runnersOpen[index] = await openRunner(runnerOptions);
    });
    await openRunnerAt[index]();
    closers.push(() => runnersOpen[index].close());
  }

  async function stop() {
    for (const {child, isEnded} of processes) {
      if (!isEnded) child.kill('SIGKILL');
    }
    await Promise.all(processes.map(({ended}) => ended));
    for (const close of closers) close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(folder, {recursive: true, force: true});
    }
  }

  async function isReady(entry) {
    const {status} = await send(entry.ready, 'GET', '/v1/ready').done;
    return status === 200;
  }

  /** Waits until each entry is ready, and for its agents to connect. */
  async function settle() {
    const endMs = performance.now() + START_LIMIT_MS;
    for (const entry of entryList) {
      while (!(await isReady(entry))) {
        if (performance.now() > endMs) throw new Error('not ready in time');
        await wait(100);
      }
    }
    await wait(4000);
  }

  const fleet = {
    folder,
    store,
    entries: entryList,
    agents: agentList,
    runners: runnersOpen,
    restartRunner: index => openRunnerAt[index](),
    settle,
    stop,
  };
  try {
    await settle();
  } catch (failure) {
    await stop();
    throw failure;
  }
  return fleet;
}

/**
 * Plays a case: exits with 1 if the rule was broken, 0 if it held and 2 if the case
 * could not run. `play` returns the violations that it has seen.
 */
export async function runCase(folder, play) {
  const recorder = new Recorder(folder);
  let code = 2;
  try {
    const violations = await play(recorder, process.env.TROUBLE !== '0');
    for (const text of violations) recorder.add({violation: text});
    code = violations.length > 0 ? 1 : 0;
  } catch (failure) {
    recorder.add({event: 'not-run', failure: failure.stack ?? failure});
  }
  recorder.add({event: 'result', code});
  recorder.save();
  console.log(recorder.lines.slice(-6).join('\n'));
  process.exit(code);
}
