/** Settings files and ports of the processes of a load. */
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {writeFileSync} from 'node:fs';
import {stringify} from 'yaml';
import type {PlacementKind} from '../../src/lib/decisions/choose_agent.js';
import type {JobOrder} from '../../src/lib/decisions/rank_job.js';

/** Loopback address that everything listens on. */
export const HOST = '127.0.0.1';

/** Key of the administration API of the entries of a load. */
export const ADMINISTRATION_KEY = 'administration-key-of-a-load';

/** Ports of one entry. */
export interface EntryPorts {
  readonly callers: number;
  readonly peers: number;
  readonly administration: number;
}

/** What one entry's settings depend on. */
export interface EntryFile {
  readonly file: string;
  readonly id: string;
  readonly dataCentre: string;
  readonly ports: EntryPorts;
  /** Port under which the agents reach `ports.peers`. */
  readonly advertisedPort: number;
  readonly storePort: number;
  readonly policy: PlacementKind;
  readonly order: JobOrder;
}

/** What one agent's settings depend on. */
export interface AgentFile {
  readonly file: string;
  readonly id: string;
  readonly dataCentre: string;
  readonly port: number;
  readonly entryPorts: readonly number[];
  readonly queueLimit: number;
}

/** Ports given out, so that fleets side by side do not get the same. */
const portsGiven = new Set<number>();

/** Finds ports that nothing listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  while (found.length < count) {
    const ports = await findUnboundPorts(count - found.length);
    found.push(...ports.filter(port => !portsGiven.has(port)));
    for (const port of ports) portsGiven.add(port);
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
          server.listen(0, HOST, () =>
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

/** Writes the settings of an entry. */
export function writeEntryFile(entry: EntryFile): void {
  const listen = (port: number) => ({host: HOST, port});
  const {callers, peers, administration} = entry.ports;
  const settings = {
    schemaVersion: 1,
    process: {id: entry.id, dataCentre: entry.dataCentre},
    listen: {
      callers: listen(callers),
      peers: listen(peers),
      administration: listen(administration),
    },
    advertise: {peers: `${HOST}:${entry.advertisedPort}`},
    store: {address: `http://${HOST}:${entry.storePort}`},
    sessions: {secret: 'secret-of-the-sessions-of-a-load'},
    placement: {policy: entry.policy, order: entry.order},
    administration: {key: ADMINISTRATION_KEY},
  };
  writeFileSync(entry.file, stringify(settings));
}

/** Writes the settings of an agent. */
export function writeAgentFile(agent: AgentFile): void {
  const settings = {
    schemaVersion: 1,
    process: {id: agent.id, dataCentre: agent.dataCentre},
    listen: {targets: {host: HOST, port: agent.port}},
    entries: agent.entryPorts.map(port => `${HOST}:${port}`),
    target: {queueLimit: agent.queueLimit},
  };
  writeFileSync(agent.file, stringify(settings));
}
