/**
 * The number of entries that each agent links to, so that each entry has enough
 * targets (deterministic subsetting with a floor on the size of the subset).
 *
 * A fixed number of links leaves an entry with few targets where the site has
 * nearly as many entries as agents: their load differs from that of the others,
 * and jobs are refused while other targets are free.
 */
import {LINKS_PER_AGENT} from './choose_links.js';

/** Number of targets that an entry needs on average to even out its load. */
const MIN_TARGETS = 16;

/** Maximum number of links of an agent, which bounds its messages. */
const MAX_LINKS = 12;

/** Factor by which the estimate must exceed the need before it is lowered. */
const LOWERING_FACTOR = 2;

/** Estimates the number of links from what one entry sees. */
export class SubsetSize {
  private links = LINKS_PER_AGENT;

  private constructor() {}

  /** Creates an estimate of `LINKS_PER_AGENT`. */
  static create(): SubsetSize {
    return new SubsetSize();
  }

  /** Number of links that each agent needs. */
  get value(): number {
    return this.links;
  }

  /**
   * Updates the estimate; returns whether it has changed. It is lowered only to
   * half, since the entries' estimates differ and each of them moves the links that
   * the others count.
   *
   * @param agents Number of agents linked to this entry.
   * @param openLinks Number of links that these agents have in all.
   */
  update(agents: number, openLinks: number): boolean {
    if (agents === 0) return false;
    const linksPerAgent = openLinks / agents;
    const needed = Math.ceil((linksPerAgent * MIN_TARGETS) / agents);
    const links = Math.min(MAX_LINKS, Math.max(LINKS_PER_AGENT, needed));
    if (!isChange(this.links, links)) return false;
    this.links = links;
    return true;
  }
}

/**
 * Returns the number of links of an agent from what its entries tell: the lower
 * median, since an entry may have few agents by chance. It is lowered only to half:
 * each link that the agent opens or closes changes the median.
 */
export function chooseLinkCount(
  told: Iterable<number>,
  current: number,
): number {
  const sorted = [...told].sort((a, b) => a - b);
  const median = sorted[(sorted.length - 1) >> 1] ?? current;
  return isChange(current, median) ? median : current;
}

function isChange(current: number, next: number): boolean {
  return next > current || next <= current / LOWERING_FACTOR;
}
