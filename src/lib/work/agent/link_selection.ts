/** The entries that an agent knows of, and which of them it links to. */
import {
  LINKS_PER_AGENT,
  listWanted,
  rankAddresses,
} from '../../decisions/choose_links.js';
import {chooseLinkCount} from '../../decisions/subset_size.js';

/**
 * Time in milliseconds since an address was last listed or connected after which
 * it is dropped.
 */
const ADDRESS_RETENTION_MS = 20_000;

/** What a linked entry tells an agent about its links. */
export interface LinkAdvice {
  /** Addresses of entries that the agent may link to. */
  readonly entries: readonly string[];
  /** Number of links; entries of earlier versions do not send it. */
  readonly links?: number;
}

/** Addresses from the settings, the store and the linked entries. */
export class LinkSelection {
  private readonly lastSeenMs = new Map<string, number>();
  /** The latest advice of each linked entry, by the number of the link. */
  private readonly advice = new Map<number, LinkAdvice>();
  private ranked: readonly string[] | undefined;
  private isAdviceNew = false;
  private links = LINKS_PER_AGENT;

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

  /** Stores the advice of a linked entry. */
  setAdvice(linkId: number, advice: LinkAdvice, nowMs: number): void {
    this.advice.set(linkId, advice);
    this.isAdviceNew = true;
    this.add(advice.entries, nowMs);
  }

  /** Removes the advice of an entry whose link has closed. */
  removeAdvice(linkId: number): void {
    this.advice.delete(linkId);
    this.isAdviceNew = true;
  }

  /** Drops the addresses that no linked entry lists any more. */
  removeStale(nowMs: number): void {
    for (const {entries} of this.advice.values()) this.add(entries, nowMs);
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
    if (this.isAdviceNew) this.updateLinks();
    return listWanted(this.ranked, isReachable, this.links);
  }

  private updateLinks(): void {
    this.isAdviceNew = false;
    const told = [...this.advice.values()].map(
      ({links}) => links ?? LINKS_PER_AGENT,
    );
    this.links = chooseLinkCount(told, this.links);
  }
}
