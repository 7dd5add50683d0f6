/** Relay of the connections of one agent to one entry. */
import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {RelayConnection} from '../../stand_ins/relay_connection.js';
import type {
  ConvertBytes,
  RelayRules,
} from '../../stand_ins/relay_connection.js';
import {composeRules} from './fault.js';
import type {RelayPlan} from './relay_messages.js';
import {SoakError} from './soak_error.js';

/** Accepts the connections of one agent to one entry while both may connect. */
export class AgentRelay {
  private readonly connections = new Set<RelayConnection>();
  private rules = composeRules([]);
  private isRefusing = false;
  private isEntryUp = false;
  private server: Server | undefined;

  private constructor(private readonly plan: RelayPlan) {}

  /** Creates a relay that refuses connections until its entry is up. */
  static create(plan: RelayPlan): AgentRelay {
    return new AgentRelay(plan);
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

  private applyState(): void {
    const isWanted = this.isEntryUp && !this.isRefusing;
    if (isWanted === (this.server !== undefined)) return;
    this.server?.close();
    this.server = undefined;
    if (!isWanted) return;
    const options = {allowHalfOpen: true};
    this.server = createServer(options, socket => this.accept(socket));
    this.server.on('error', cause => {
      const {host, port} = this.plan.address;
      throw new SoakError(`Cannot listen on ${host}:${port}.`, {cause});
    });
    this.server.listen(this.plan.address);
  }

  private accept(socket: Socket): void {
    const connection = RelayConnection.create(
      socket,
      this.plan.to,
      this.rules,
      ended => this.connections.delete(ended),
      createConversion(this.plan),
    );
    this.connections.add(connection);
  }
}

/**
 * Creates the function that replaces entries' hosts by an agent's relays in the
 * lines of one connection; it keeps an incomplete line until the rest arrives.
 */
function createConversion({
  entriesPrefix,
  relaysPrefix,
}: RelayPlan): ConvertBytes {
  let remainder = '';
  return bytes => {
    // Latin 1 keeps each byte, also those of a character that is cut in two.
    const text = remainder + bytes.toString('latin1');
    const end = text.lastIndexOf('\n') + 1;
    remainder = text.slice(end);
    const lines = text.slice(0, end).replaceAll(entriesPrefix, relaysPrefix);
    return Buffer.from(lines, 'latin1');
  };
}
