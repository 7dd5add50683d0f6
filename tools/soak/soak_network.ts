/** Addresses of a soak on a loopback network that it holds for itself. */
import {createServer} from 'node:net';
import type {DrawRandom} from '../../src/lib/core/clock.js';
import type {RelayPlan} from './relay_messages.js';
import {SoakError} from './soak_error.js';

/** Ports of the programs; below the range from which outgoing connections draw. */
export enum SoakPort {
  LINK = 7720,
  CALLER = 8161,
  TARGET_HEARTBEAT = 8166,
  READY = 8167,
  LOCK = 8169,
}

/** Third part of an address; agent N has its relays in the block `RELAYS` + N. */
export enum HostBlock {
  ENTRIES = 1,
  AGENTS = 2,
  TARGETS = 3,
  RELAYS = 16,
}

const FIRST_NETWORK = 20;
const NETWORKS = 230;
const MAX_ATTEMPTS = 50;

/** A network `127.N`, taken by a listener. */
export class SoakNetwork {
  private constructor(
    private readonly prefix: string,
    /** Releases the network. */
    readonly release: () => void,
  ) {}

  /** Takes a network that no other soak holds. @throws SoakError if none is found. */
  static async create(drawRandom: DrawRandom): Promise<SoakNetwork> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const number = FIRST_NETWORK + Math.floor(drawRandom() * NETWORKS);
      const release = await takeHost(`127.${number}.${HostBlock.ENTRIES}.1`);
      if (release) return new SoakNetwork(`127.${number}`, release);
    }
    throw new SoakError(`No free network in ${MAX_ATTEMPTS} attempts.`);
  }

  /** Returns the host of a program or target by its number, from 0. */
  getHost(block: HostBlock, index: number): string {
    return `${this.prefix}.${block}.${index + 1}`;
  }

  /** Returns the host at which an agent reaches an entry. */
  getRelayHost(agent: number, entry: number): string {
    return this.getHost(HostBlock.RELAYS + agent, entry);
  }

  /** Plans the relay between an agent and an entry. */
  planRelay(agent: number, entry: number): RelayPlan {
    const port = SoakPort.LINK;
    const block = HostBlock.RELAYS + agent;
    return {
      agent,
      entry,
      address: {host: this.getRelayHost(agent, entry), port},
      to: {host: this.getHost(HostBlock.ENTRIES, entry), port},
      entriesPrefix: `"${this.prefix}.${HostBlock.ENTRIES}.`,
      relaysPrefix: `"${this.prefix}.${block}.`,
    };
  }
}

function takeHost(host: string): Promise<(() => void) | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen({host, port: SoakPort.LOCK}, () =>
      resolve(() => void server.close()),
    );
  });
}
