import {createServer} from 'node:net';
import {request as createRequest} from 'node:http';
import {
  decodeConfiguration,
  OPERATORS_PREFIX,
} from '../../platform/configuration_codec.js';
import {openHeartbeatListener} from '../../platform/heartbeat_listener.js';
import {
  openCallerListener,
  openReadinessListener,
} from '../../platform/caller_listener.js';
import {createKeyValueStore} from '../../platform/key_value_store.js';
import {createTargetConnector} from '../../platform/target_http_client.js';
import {
  readMonotonicMs,
  readSystemMs,
  startDeferredTimer,
  startTimer,
} from '../../src/lib/core/clock.js';
import {createIdentity} from '../../src/lib/core/identity.js';
import type {AgentFrame, EntryFrame} from '../../src/lib/core/work_frames.js';
import type {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import {NO_OP_FLEET_METRICS} from '../../src/lib/observe/fleet_metrics.js';
import type {TargetConnection} from '../../src/lib/work/agent/target_api.js';
import {WorkAgent} from '../../src/lib/work/agent/work_agent.js';
import {WorkEntry} from '../../src/lib/work/entry/work_entry.js';
import type {WorkEntryOptions} from '../../src/lib/work/entry/work_entry.js';
import {
  openLineServer,
  openLineStream,
} from '../../src/lib/work/link/line_stream.js';
import type {OpenFrameStream} from '../../src/lib/work/link/frame_stream.js';
import {listRegisteredEntries} from '../../src/lib/work/registered_entries.js';
import {FleetStore} from '../../stand_ins/fleet_store.js';
import {FleetTarget} from '../../stand_ins/fleet_target.js';
import type {FleetTargetOptions} from '../../stand_ins/fleet_target_options.js';

/** An HTTP reply to a caller. */
export interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: Readonly<Record<string, unknown>>;
}

/** A log line and the process that wrote it. */
export interface LoggedLine {
  readonly process: string;
  readonly event: FleetEvent;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Changes what becomes of an agent's calls to its target. */
export type WrapConnection = (
  connection: TargetConnection,
  target: FleetTarget,
) => TargetConnection;

/** A task's payload: `RUN_MS/CPU_MILLI`. */
export function formatPayload(runMs: number, cpuMilli = 1000): string {
  return `${runMs}/${cpuMilli}`;
}

/** The body of a job with one step. */
export function createJobBody(
  count: number,
  runMs: number,
  changes: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
  const step = {count, cpu: 1000, memMb: 10, estimateMs: Math.abs(runMs)};
  const spec = formatPayload(runMs);
  return {spec, steps: [step], bestEffort: true, ...changes};
}

const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: 'r-1',
      host: 'desk.example',
      prefix: '/jobs/',
      type: 'non_idempotent',
      targetDurationMs: 60,
      priority: 0,
      service: 'runner',
      maxAttempts: 3,
      stretch: 1.6,
    },
  ],
  services: [{name: 'runner'}],
  limits: {maxBodyBytes: 10_000},
};

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  await new Promise(resolve => server.close(resolve));
  return typeof address === 'object' ? (address?.port ?? 0) : 0;
}

interface RunningServer {
  readonly requestStop: () => void;
  readonly stopped: Promise<void>;
}

/** A store, entries, agents and targets of one fleet, all in this process. */
export class FleetFixture {
  readonly lines: LoggedLine[] = [];
  readonly targets: FleetTarget[] = [];

  private readonly servers: RunningServer[] = [];
  private readonly linkAddresses: string[] = [];

  private constructor(readonly store: FleetStore) {}

  static async create(): Promise<FleetFixture> {
    const store = await FleetStore.create();
    store.put('op/config', JSON.stringify(CONFIGURATION));
    return new FleetFixture(store);
  }

  /** Starts an entry; returns its addresses for agents, callers and readiness checks. */
  async startEntry(
    name: string,
    changes: Partial<WorkEntryOptions> = {},
  ): Promise<{
    readonly links: string;
    readonly callers: string;
    readonly ready: string;
    readonly server: RunningServer;
  }> {
    const linkAddress =
      changes.linkAddress ?? `127.0.0.1:${await findFreePort()}`;
    const callers = `127.0.0.1:${await findFreePort()}`;
    const ready = `127.0.0.1:${await findFreePort()}`;
    const log = this.createLog(name);
    const entry = WorkEntry.create({
      identity: createIdentity(name, 'zone-a'),
      linkAddress,
      farFactor: 1.5,
      stopWithinMs: 6000,
      store: createKeyValueStore({address: this.store.address, startTimer}),
      operatorsPrefix: OPERATORS_PREFIX,
      decodeConfiguration,
      openListeners: async ports => [
        await openCallerListener({address: callers, log, ...ports}),
        await openReadinessListener(ready, ports.isReady),
      ],
      openLinkServer: openLineServer,
      readMonotonicMs,
      readSystemMs,
      startTimer,
      drawRandom: Math.random,
      log,
      metrics: NO_OP_FLEET_METRICS,
      ...changes,
    });
    await entry.start();
    this.linkAddresses.push(linkAddress);
    const server = {
      requestStop: () => entry.requestStop(),
      stopped: entry.stopped,
    };
    this.servers.push(server);
    return {links: linkAddress, callers, ready, server};
  }

  /** Starts an agent and its target. */
  async startTarget(
    name: string,
    changes: Partial<FleetTargetOptions> = {},
    dataCentre = 'zone-a',
    openStream: OpenFrameStream<AgentFrame, EntryFrame> = openLineStream,
    wrapConnection: WrapConnection = connection => connection,
  ): Promise<{
    readonly target: FleetTarget;
    readonly server: RunningServer;
    /** Address for the target's heartbeats. */
    readonly agentAddress: string;
  }> {
    const announceAddress = `127.0.0.1:${await findFreePort()}`;
    const target = await FleetTarget.create({
      id: name,
      service: 'runner',
      dataCentre,
      cpuMilli: 4000,
      agentAddress: announceAddress,
      computeRunMs: payload => Number(payload.split('/')[0]),
      computeDemandMilli: payload => Number(payload.split('/')[1]),
      ...changes,
    });
    this.targets.push(target);
    const log = this.createLog(`agent-${name}`);
    const store = createKeyValueStore({
      address: this.store.address,
      startTimer,
    });
    const connect = createTargetConnector(target.address, startDeferredTimer);
    const agent = WorkAgent.create({
      identity: createIdentity(`agent-${name}`, dataCentre),
      seeds: this.linkAddresses,
      findEntries: () => listRegisteredEntries(store),
      stopWithinMs: 6000,
      connectTarget: heartbeat => wrapConnection(connect(heartbeat), target),
      openHeartbeatListener: handlers =>
        openHeartbeatListener({address: announceAddress, ...handlers}),
      openStream,
      readMonotonicMs,
      readSystemMs,
      startTimer,
      drawRandom: Math.random,
      log,
      metrics: NO_OP_FLEET_METRICS,
    });
    await agent.start();
    const server = {
      requestStop: () => agent.requestStop(),
      stopped: agent.stopped,
    };
    this.servers.push(server);
    return {target, server, agentAddress: announceAddress};
  }

  /** Returns whether a process whose name contains `process` logged the event. */
  hasLogged(event: FleetEvent, process = ''): boolean {
    return this.lines.some(
      line => line.event === event && line.process.includes(process),
    );
  }

  async close(): Promise<void> {
    for (const server of this.servers) server.requestStop();
    await Promise.all(this.servers.map(server => server.stopped));
    await Promise.all(this.targets.map(target => target.close()));
    await this.store.close();
  }

  private createLog(process: string) {
    return (event: FleetEvent, _text: string, fields = {}) => {
      this.lines.push({process, event, fields});
    };
  }
}

/** Sends a request of a caller; rejects if the connection breaks. */
export function call(
  address: string,
  method: string,
  path: string,
  body?: unknown,
  deadlineMs = 4000,
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const request = createRequest(
      `http://${address}${path}`,
      {
        method,
        headers: {host: 'desk.example', 'deadline-ms': String(deadlineMs)},
      },
      response => {
        let text = '';
        response.on('data', part => (text += part));
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: JSON.parse(text === '' ? '{}' : text),
          }),
        );
      },
    );
    request.on('error', reject);
    request.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

let lastJob = 0;

/** Creates a job path that no earlier call has returned. */
export function createJobPath(): string {
  lastJob += 1;
  return `/jobs/${lastJob.toString(16).padStart(16, '0')}`;
}
