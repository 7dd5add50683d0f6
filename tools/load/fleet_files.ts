/** Writes settings files and allocates ports for the processes of a load. */
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {writeFileSync} from 'node:fs';
import {stringify} from 'yaml';
import type {PlacementKind} from '../../src/lib/decisions/choose_agent.js';
import type {JobOrder} from '../../src/lib/decisions/rank_job.js';

/** Loopback address that all processes listen on. */
export const LOOPBACK_HOST = '127.0.0.1';

/** Key of the administration API of the entries. */
export const ADMINISTRATION_KEY = 'administration-key-of-a-load';

/** Listening ports of one entry. */
export interface EntryPorts {
  readonly callers: number;
  readonly peers: number;
  readonly administration: number;
}

/** Values that differ between the settings files of entries. */
export interface EntryFileOptions {
  readonly file: string;
  readonly id: string;
  readonly dataCentre: string;
  readonly ports: EntryPorts;
  /** Port at which agents reach `ports.peers`, which may be that of a relay. */
  readonly advertisedPort: number;
  readonly storePort: number;
  readonly policy: PlacementKind;
  readonly order: JobOrder;
}

/** Values that differ between the settings files of agents. */
export interface AgentFileOptions {
  readonly file: string;
  readonly id: string;
  readonly dataCentre: string;
  readonly port: number;
  readonly entryPorts: readonly number[];
  readonly queueLimit: number;
}

/** Ports already returned, so that concurrent fleets do not share any. */
const allocatedPorts = new Set<number>();

/** Finds loopback ports that are neither bound nor allocated to another fleet. */
export async function findFreePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  while (found.length < count) {
    const ports = await findUnboundPorts(count - found.length);
    found.push(...ports.filter(port => !allocatedPorts.has(port)));
    for (const port of ports) allocatedPorts.add(port);
  }
  return found;
}

async function findUnboundPorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  const ports = await Promise.all(
    servers.map(
      server =>
        new Promise<number>((resolve, reject) => {
          server.once('error', reject);
          server.listen(0, LOOPBACK_HOST, () =>
            resolve((server.address() as AddressInfo).port),
          );
        }),
    ),
  );
  await Promise.all(
    servers.map(
      server => new Promise<void>(resolve => server.close(() => resolve())),
    ),
  );
  return ports;
}

/** Writes the settings file of an entry. */
export function writeEntryFile(entry: EntryFileOptions): void {
  const listen = (port: number) => ({host: LOOPBACK_HOST, port});
  const {callers, peers, administration} = entry.ports;
  const settings = {
    schemaVersion: 1,
    process: {id: entry.id, dataCentre: entry.dataCentre},
    listen: {
      callers: listen(callers),
      peers: listen(peers),
      administration: listen(administration),
    },
    advertise: {peers: `${LOOPBACK_HOST}:${entry.advertisedPort}`},
    store: {address: `http://${LOOPBACK_HOST}:${entry.storePort}`},
    sessions: {secret: 'secret-of-the-sessions-of-a-load'},
    placement: {policy: entry.policy, order: entry.order},
    administration: {key: ADMINISTRATION_KEY},
  };
  writeFileSync(entry.file, stringify(settings));
}

/** Writes the settings file of an agent. */
export function writeAgentFile(agent: AgentFileOptions): void {
  const settings = {
    schemaVersion: 1,
    process: {id: agent.id, dataCentre: agent.dataCentre},
    listen: {targets: {host: LOOPBACK_HOST, port: agent.port}},
    entries: agent.entryPorts.map(port => `${LOOPBACK_HOST}:${port}`),
    target: {queueLimit: agent.queueLimit},
  };
  writeFileSync(agent.file, stringify(settings));
}
