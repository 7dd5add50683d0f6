/** Addresses of a soak on a loopback network that it holds for itself. */
import {createServer} from 'node:net';
import type {DrawRandom} from '../../src/lib/core/clock.js';
import type {LoopbackAddress, TranslateLine} from './relayed_link.js';
import {SoakError} from './soak_error.js';

/** Ports of the programs; below the range from which outgoing connections draw. */
export enum SoakPort {
  LINK = 7720,
  CALLER = 8161,
  TARGET_HEARTBEAT = 8166,
  READY = 8167,
  LOCK = 8169,
}

const FIRST_NETWORK = 20;
const NETWORKS = 230;
const MAX_ATTEMPTS = 50;

/** Third part of the addresses of entries, agents and targets. */
const ENTRY_BLOCK = 1;
const AGENT_BLOCK = 2;
const TARGET_BLOCK = 3;
/** Third part of the addresses of the first agent's relays. */
const FIRST_RELAY_BLOCK = 16;

/** A network `127.N`, locked by a listener. */
export class SoakNetwork {
  private constructor(
    private readonly prefix: string,
    /** Releases the network. */
    readonly release: () => void,
  ) {}

  /**
   * Locks a network that no other soak holds.
   *
   * @throws SoakError if none is found.
   */
  static async create(drawRandom: DrawRandom): Promise<SoakNetwork> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const number = FIRST_NETWORK + Math.floor(drawRandom() * NETWORKS);
      const prefix = `127.${number}`;
      const host = `${prefix}.${ENTRY_BLOCK}.1`;
      const release = await takeAddress({host, port: SoakPort.LOCK});
      if (release !== undefined) return new SoakNetwork(prefix, release);
    }
    throw new SoakError(`No free network in ${MAX_ATTEMPTS} attempts.`);
  }

  /** Returns the host of an entry. */
  getEntryHost(entry: number): string {
    return `${this.prefix}.${ENTRY_BLOCK}.${entry + 1}`;
  }

  /** Returns the host of an agent. */
  getAgentHost(agent: number): string {
    return `${this.prefix}.${AGENT_BLOCK}.${agent + 1}`;
  }

  /** Returns the host of the target beside an agent. */
  getTargetHost(agent: number): string {
    return `${this.prefix}.${TARGET_BLOCK}.${agent + 1}`;
  }

  /** Returns the address at which an agent reaches an entry. */
  getRelayAddress(agent: number, entry: number): LoopbackAddress {
    const host = `${this.prefix}.${FIRST_RELAY_BLOCK + agent}.${entry + 1}`;
    return {host, port: SoakPort.LINK};
  }

  /** Returns the address at which an entry accepts agents. */
  getLinkAddress(entry: number): LoopbackAddress {
    return {host: this.getEntryHost(entry), port: SoakPort.LINK};
  }

  /** Creates the function that replaces entries' addresses by an agent's relays. */
  createTranslation(agent: number): TranslateLine {
    const entryStart = `"${this.prefix}.${ENTRY_BLOCK}.`;
    const relayStart = `"${this.prefix}.${FIRST_RELAY_BLOCK + agent}.`;
    return line => line.replaceAll(entryStart, relayStart);
  }
}

function takeAddress(
  address: LoopbackAddress,
): Promise<(() => void) | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(address, () => resolve(() => void server.close()));
  });
}
