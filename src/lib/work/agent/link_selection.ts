/** The entries that an agent knows of, and which of them it links to. */
import {listWanted, rankAddresses} from '../../decisions/choose_links.js';

/**
 * Time in milliseconds since an address was last listed or connected after which
 * it is dropped.
 */
const ADDRESS_RETENTION_MS = 20_000;

/** Addresses from the settings, the store and the linked entries. */
export class LinkSelection {
  private readonly lastSeenMs = new Map<string, number>();
  /** The latest list of each linked entry, by the number of the link. */
  private readonly lists = new Map<number, readonly string[]>();
  private ranked: readonly string[] | undefined;

  private constructor(
    private readonly agent: string,
    private readonly seeds: readonly string[],
  ) {}

  /** Creates a selection that knows the seeds, which it never drops. */
  static create(agent: string, seeds: readonly string[]): LinkSelection {
    return new LinkSelection(agent, seeds);
  }

  /** Adds addresses, or records that they are still in use. */
  add(addresses: readonly string[], nowMs: number): void {
    for (const address of addresses) {
      if (!this.lastSeenMs.has(address)) this.ranked = undefined;
      this.lastSeenMs.set(address, nowMs);
    }
  }

  /** Stores the list of a linked entry. */
  setList(linkId: number, addresses: readonly string[], nowMs: number): void {
    this.lists.set(linkId, addresses);
    this.add(addresses, nowMs);
  }

  /** Removes the list of an entry whose link has closed. */
  removeList(linkId: number): void {
    this.lists.delete(linkId);
  }

  /** Drops the addresses that no linked entry lists any more. */
  removeStale(nowMs: number): void {
    for (const addresses of this.lists.values()) this.add(addresses, nowMs);
    for (const [address, seenMs] of this.lastSeenMs) {
      if (nowMs - seenMs <= ADDRESS_RETENTION_MS) continue;
      this.lastSeenMs.delete(address);
      this.ranked = undefined;
    }
  }

  /** Lists the addresses to be linked, most preferred first. */
  listWanted(isReachable: (address: string) => boolean): readonly string[] {
    this.ranked ??= rankAddresses(
      this.agent,
      new Set([...this.seeds, ...this.lastSeenMs.keys()]),
    );
    return listWanted(this.ranked, isReachable);
  }
}
