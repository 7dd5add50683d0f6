/** Relay of the connections of one agent to one entry. */
import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {RelayConnection} from '../../stand_ins/relay_connection.js';
import type {
  ConvertBytes,
  RelayAddress,
  RelayRules,
} from '../../stand_ins/relay_connection.js';
import {composeRules} from './fault.js';
import {SoakError} from './soak_error.js';

/** Accepts the connections of one agent to one entry while both may connect. */
export class AgentRelay {
  private readonly connections = new Set<RelayConnection>();
  private rules = composeRules([]);
  private isRefusing = false;
  private isEntryUp = false;
  private server: Server | undefined;

  private constructor(
    private readonly address: RelayAddress,
    private readonly entry: RelayAddress,
    private readonly createConversion: () => ConvertBytes,
  ) {}

  /** Creates a relay that refuses connections until its entry is up. */
  static create(
    address: RelayAddress,
    entry: RelayAddress,
    createConversion: () => ConvertBytes,
  ): AgentRelay {
    return new AgentRelay(address, entry, createConversion);
  }

  /** Sets whether the entry accepts connections. */
  setEntryUp(isUp: boolean): void {
    this.isEntryUp = isUp;
    this.applyState();
  }

  /** Changes the rules of all connections, and whether new ones are refused. */
  setRules(rules: RelayRules, isRefusing: boolean): void {
    this.rules = rules;
    this.isRefusing = isRefusing;
    this.applyState();
    for (const connection of this.connections) connection.setRules(rules);
    if (isRefusing) this.reset();
  }

  /** Resets all connections. */
  reset(): void {
    for (const connection of this.connections) connection.reset();
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    this.server?.close();
    await Promise.all([...this.connections].map(link => link.stop()));
  }

  private applyState(): void {
    const isWanted = this.isEntryUp && !this.isRefusing;
    if (isWanted === (this.server !== undefined)) return;
    this.server?.close();
    this.server = undefined;
    if (!isWanted) return;
    const options = {allowHalfOpen: true};
    this.server = createServer(options, socket => this.accept(socket));
    this.server.on('error', cause => {
      const {host, port} = this.address;
      throw new SoakError(`Cannot listen on ${host}:${port}.`, {cause});
    });
    this.server.listen(this.address);
  }

  private accept(socket: Socket): void {
    const connection = RelayConnection.create(
      socket,
      this.entry,
      this.rules,
      ended => this.connections.delete(ended),
      this.createConversion(),
    );
    this.connections.add(connection);
  }
}
