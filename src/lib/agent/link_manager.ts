/** The agent's task that manages one link to each entry. */
import {Task} from '../core/task.js';
import type {Post} from '../core/task.js';
import type {AgentConfiguration} from '../core/link_messages.js';
import type {EntryLink} from './entry_link.js';
import type {LinkManagerMessage, LinkMessage} from './runner_messages.js';

const MAILBOX_CAPACITY = 1000;

/** Options of `LinkManager.create`. */
export interface LinkManagerOptions {
  /** Addresses from the settings; their links are never closed. */
  readonly seeds: readonly string[];
  readonly createLink: (address: string) => EntryLink;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}

/**
 * Owns the links. Opens one to each address in the settings and to each entry in
 * the configuration, and closes links to entries that are no longer listed.
 */
export class LinkManager {
  private readonly task: Task<LinkManagerMessage>;
  private readonly links = new Map<string, EntryLink>();

  private constructor(private readonly options: LinkManagerOptions) {
    this.task = Task.create<LinkManagerMessage>({
      name: 'link manager',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.update(message.configuration),
      reportFailure: options.reportFailure,
    });
  }

  /** Creates the manager; `openSeeds` opens the first links. */
  static create(options: LinkManagerOptions): LinkManager {
    const manager = new LinkManager(options);
    manager.task.store.add(() => manager.closeAll());
    return manager;
  }

  /** Posts a message to the manager. */
  get post(): Post<LinkManagerMessage> {
    return this.task.post;
  }

  /** Opens the links to the addresses in the settings. */
  openSeeds(): void {
    for (const address of this.options.seeds) this.open(address);
  }

  /** Posts a message to the link of an address, if there is one. */
  postToLink(address: string, message: LinkMessage): void {
    this.links.get(address)?.post(message);
  }

  /** Closes all links. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private update(configuration: AgentConfiguration): void {
    const wanted = new Set(this.options.seeds);
    for (const entry of configuration.entries) wanted.add(entry.address);
    for (const address of wanted) this.open(address);
    for (const [address, link] of this.links) {
      if (wanted.has(address)) continue;
      this.links.delete(address);
      link
        .stop()
        .catch(failure => this.options.reportFailure(failure, address));
    }
  }

  private open(address: string): void {
    if (this.links.has(address)) return;
    this.links.set(address, this.options.createLink(address));
  }

  private async closeAll(): Promise<void> {
    await Promise.all([...this.links.values()].map(link => link.stop()));
  }
}
