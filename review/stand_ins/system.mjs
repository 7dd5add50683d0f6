/** Starts the programs of the deploy file on loopback addresses, and ends them. */
import {spawn} from 'node:child_process';
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer, createConnection} from 'node:net';
import {request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Port on which the programs serve their metrics; fixed by the deploy file. */
const METRICS_PORT = 9464;

const BOUNDS = {
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
  resendMs: 1300,
};

/** Thrown if the case cannot run at all. */
export class CannotRun extends Error {}

function readCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const command = /^run = "(.*)"$/m.exec(section)?.[1];
  if (command === undefined) throw new CannotRun(`no command of ${role}`);
  return command.split(' ');
}

function canListen(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A small deployment in one zone: its addresses, programs and folder. */
export class System {
  children = new Map();
  names = [];

  static async create(record) {
    const system = new System();
    system.record = record;
    system.folder = mkdtempSync(join(tmpdir(), 'review-'));
    for (let tries = 0; tries < 50; tries += 1) {
      const draw = () => 1 + Math.floor(Math.random() * 250);
      system.network = `127.${draw()}.${draw()}`;
      system.ports = {
        front: 8161,
        ready: 8167,
        control: 8166,
        app: 8165,
        store: 8169,
        link: 7720,
      };
      const probes = [METRICS_PORT, ...Object.values(system.ports)];
      const free = await Promise.all(
        probes.map(port => canListen(`${system.network}.10`, port)),
      );
      if (free.every(Boolean)) return system;
    }
    throw new CannotRun('no free ports');
  }

  /** Address of the store for entries or agents. */
  storeAddress(role) {
    const host = `${this.network}.${role === 'entry' ? 2 : 3}`;
    return {host, port: this.ports.store};
  }

  entryHost(number) {
    return `${this.network}.${10 + number}`;
  }

  agentHost(number) {
    return `${this.network}.${100 + number}`;
  }

  /** Starts an entry or an agent, or starts it again. */
  start(role, number, {zone = 'zone-a', seeds = 2, service = 'desk'} = {}) {
    const {ports} = this;
    const isEntry = role === 'entry';
    const host = isEntry ? this.entryHost(number) : this.agentHost(number);
    const machineClass = isEntry ? 'front' : 'side';
    const name = `${machineClass}-${zone}-${number}`;
    const store = this.storeAddress(role);
    const settings = {
      nodeName: name,
      role,
      machineClass,
      serves: isEntry ? ['front', 'control'] : ['side'],
      ip: host,
      zone,
      region: 'region',
      zones: {'zone-a': 'region', 'zone-b': 'region'},
      listenAddrs: isEntry
        ? {
            front: `${host}:${ports.front}`,
            ready: `${host}:${ports.ready}`,
            control: `${host}:${ports.control}`,
          }
        : {control: `${host}:${ports.control}`},
      internalPortRange: [ports.link, ports.link + 15],
      seeds: Array.from(
        {length: seeds},
        (_, index) => `${this.entryHost(index + 1)}:${ports.control}`,
      ),
      bootstrap: true,
      lossCounts: false,
      dataDir: null,
      discovery: 'local',
      entry: 'vip',
      heartbeatIntervalMs: 1500,
      faultTolerance: {machines: 2, zones: 1, regions: 0},
      bounds: BOUNDS,
      orders: 'call',
      ...(isEntry ? {} : {app: `${host}:${ports.app}`, service}),
      platform: {
        address: `${store.host}:${store.port}`,
        form: 'kv',
        writesPerS: 400,
        readsPerS: 2000,
        historyS: 20,
        valueBytes: 1_048_576,
        ttlMinMs: 1000,
      },
    };
    const file = join(this.folder, `${name}.yaml`);
    writeFileSync(file, JSON.stringify(settings));
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const [program, ...words] = readCommand(role);
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, FOXTAILBAY_BOOT: file},
      stdio: ['ignore', log, log],
    });
    this.children.set(name, child);
    child.on('exit', (code, signal) =>
      this.record(`process ${name} ends: ${code ?? signal}`),
    );
    this.record(`process ${name} starts`);
    return child;
  }

  /** Waits until an entry reports itself as ready, as the platform asks it. */
  async awaitReady(number, withinMs = 15_000) {
    const until = performance.now() + withinMs;
    while (performance.now() < until) {
      const {status} = await call({
        host: this.entryHost(number),
        port: this.ports.ready,
        method: 'GET',
        path: '/v1/ready',
      });
      if (status === 200) return;
      await sleep(100);
    }
    throw new CannotRun(`entry ${number} is not ready`);
  }

  /** Ends all programs at once, stopped ones too. */
  kill() {
    for (const child of this.children.values()) child.kill('SIGKILL');
  }

  /** Ends all programs and removes the folder. */
  async close() {
    const ends = [...this.children.values()]
      .filter(child => child.exitCode === null && child.signalCode === null)
      .map(child => new Promise(resolve => child.once('exit', resolve)));
    this.kill();
    await Promise.all(ends);
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, {recursive: true, force: true});
    } else {
      console.log(this.folder);
    }
  }
}

export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Sends one HTTP request on a new connection; status 0 without an answer. */
export function call({host, port, method, path, headers = {}, body}) {
  return new Promise(resolve => {
    const request = sendRequest(
      {host, port, method, path, headers, agent: false},
      async response => {
        const chunks = [];
        try {
          for await (const chunk of response) chunks.push(chunk);
        } catch {
          resolve({status: 0, text: ''});
          return;
        }
        const text = Buffer.concat(chunks).toString();
        resolve({status: response.statusCode, text});
      },
    );
    request.on('error', () => resolve({status: 0, text: ''}));
    request.end(body);
  });
}

/** The operator's configuration: one queue of one service. */
export function createConfiguration(changes = {}) {
  const route = {
    name: 'r-desk',
    host: 'desk.example',
    prefix: '/jobs/',
    type: 'non_idempotent',
    timeoutMs: 20_000,
    targetDurationMs: 60,
    priority: 0,
    service: 'desk',
    maxAttempts: 3,
    stretch: 1.6,
    ...changes,
  };
  const service = {
    name: 'desk',
    healthPath: '/health',
    maxConnections: 64,
    protocol: 'h1',
    tls: false,
    admissionCheck: false,
    spare: false,
  };
  const limits = {maxHeaderBytes: 16_384, maxBodyBytes: 262_144};
  return {version: 3, routes: [route], services: [service], limits};
}

/** A job's id: 16 hexadecimal digits. */
export function createId() {
  return Array.from({length: 16}, () =>
    Math.floor(Math.random() * 16).toString(16),
  ).join('');
}

/**
 * The platform's forwarding of clients' connections to the entries of a zone: by
 * a hash of the client, retries to the next node; nodes that are not ready twice
 * in a row get no new connection.
 */
export class Ingress {
  misses = new Map();
  sockets = new Set();

  constructor(system, entries) {
    this.system = system;
    this.entries = entries;
    this.timer = setInterval(() => this.checkReadiness(), 1000);
  }

  async checkReadiness() {
    for (const number of this.entries) {
      const {status} = await call({
        host: this.system.entryHost(number),
        port: this.system.ports.ready,
        method: 'GET',
        path: '/v1/ready',
      });
      const misses = status === 200 ? 0 : (this.misses.get(number) ?? 0) + 1;
      this.misses.set(number, misses);
    }
  }

  /** Chooses the node of a client's connection; `attempt` counts from 0. */
  choose(client, attempt) {
    const ready = this.entries.filter(
      number => (this.misses.get(number) ?? 0) < 2,
    );
    const nodes = ready.length > 0 ? ready : this.entries;
    return nodes[(client + attempt) % nodes.length];
  }

  close() {
    clearInterval(this.timer);
  }
}

export {createConnection};
