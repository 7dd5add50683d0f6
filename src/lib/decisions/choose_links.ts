/**
 * Chooses the entries that an agent links to: deterministic subsetting by
 * rendezvous hashing (Thaler and Ravishankar, 1998). Each entry gets about the
 * same number of agents of each data centre and rack, and an entry that goes is
 * replaced at each of its agents by another one.
 */

/**
 * Number of entries that an agent links to, if there are as many. Sites with few
 * agents for their entries need more, see `subset_size.ts`.
 */
export const LINKS_PER_AGENT = 4;

/**
 * Number of addresses that an entry tells each agent: those it links to, and
 * replacements, should most entries go.
 */
const CANDIDATES_PER_AGENT = 18;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Sorts addresses by an agent's preference, the most preferred first. */
export function rankAddresses(
  agent: string,
  addresses: Iterable<string>,
): string[] {
  return [...addresses]
    .map(address => ({address, weight: computeWeight(agent, address)}))
    .sort((a, b) => b.weight - a.weight || (a.address < b.address ? -1 : 1))
    .map(({address}) => address);
}

/** Lists the addresses that an agent needs to know. */
export function listCandidates(
  agent: string,
  addresses: readonly string[],
): readonly string[] {
  if (addresses.length <= CANDIDATES_PER_AGENT) return addresses;
  return rankAddresses(agent, addresses).slice(0, CANDIDATES_PER_AGENT);
}

/**
 * Lists the addresses to be linked, most preferred first: enough for `links` open
 * links. Unreachable entries stay in the list and are tried again, but do not count.
 */
export function listWanted(
  ranked: readonly string[],
  isReachable: (address: string) => boolean,
  links = LINKS_PER_AGENT,
): readonly string[] {
  let reachable = 0;
  const wanted: string[] = [];
  for (const address of ranked) {
    if (reachable >= links) break;
    wanted.push(address);
    if (isReachable(address)) reachable += 1;
  }
  return wanted;
}

function computeWeight(agent: string, address: string): number {
  let hash = FNV_OFFSET;
  for (const text of [agent, '|', address]) {
    for (let index = 0; index < text.length; index += 1) {
      hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
  }
  // Mixes the high bits into all others, which FNV alone does not.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
