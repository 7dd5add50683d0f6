/** Relay of the connections of one agent to one entry. */
import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {RelayedLink} from './relayed_link.js';
import type {LoopbackAddress, TranslateLine} from './relayed_link.js';
import {SOUND_LINK} from './link_rule.js';
import type {LinkRule} from './link_rule.js';
import {SoakError} from './soak_error.js';

/** Accepts the connections of one agent to one entry while both may connect. */
export class AgentRelay {
  private readonly links = new Set<RelayedLink>();
  private rule = SOUND_LINK;
  private isEntryUp = false;
  private server: Server | undefined;

  private constructor(
    private readonly address: LoopbackAddress,
    private readonly to: LoopbackAddress,
    private readonly translate: TranslateLine,
  ) {}

  /** Creates a relay that refuses connections until its entry is up. */
  static create(
    address: LoopbackAddress,
    to: LoopbackAddress,
    translate: TranslateLine,
  ): AgentRelay {
    return new AgentRelay(address, to, translate);
  }

  /** Notes whether the entry accepts connections. */
  setEntryUp(isUp: boolean): void {
    this.isEntryUp = isUp;
    this.applyState();
  }

  /** Changes the rule of all connections. */
  setRule(rule: LinkRule): void {
    this.rule = rule;
    this.applyState();
    for (const link of this.links) link.setRule(rule);
    if (rule.isRefused) this.reset();
  }

  /** Resets all connections. */
  reset(): void {
    for (const link of this.links) link.reset();
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    this.server?.close();
    await Promise.all([...this.links].map(link => link.stop()));
  }

  private applyState(): void {
    const isWanted = this.isEntryUp && !this.rule.isRefused;
    if (isWanted === (this.server !== undefined)) return;
    if (isWanted) {
      this.server = createServer({allowHalfOpen: true}, socket =>
        this.accept(socket),
      );
      this.server.on('error', cause => {
        const {host, port} = this.address;
        throw new SoakError(`Cannot listen on ${host}:${port}.`, {cause});
      });
      this.server.listen(this.address);
    } else {
      this.server?.close();
      this.server = undefined;
    }
  }

  private accept(socket: Socket): void {
    const notifyEnd = (ended: RelayedLink) => this.links.delete(ended);
    const {to, rule, translate} = this;
    const link = RelayedLink.create(socket, to, rule, translate, notifyEnd);
    this.links.add(link);
  }
}
