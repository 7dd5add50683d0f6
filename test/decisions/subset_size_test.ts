import {expect} from 'chai';
import {
  LINKS_PER_AGENT,
  listWanted,
  rankAddresses,
} from '../../src/lib/decisions/choose_links.js';
import {
  chooseLinkCount,
  SubsetSize,
} from '../../src/lib/decisions/subset_size.js';

/** Entries and agents whose links follow what the entries tell. */
class Site {
  private readonly sizes = new Map<string, SubsetSize>();
  private links = new Map<string, readonly string[]>();
  private readonly wanted = new Map<string, number>();

  private constructor(private readonly agents: readonly string[]) {}

  static create(agents: number, entries: number): Site {
    const names = Array.from({length: agents}, (_, index) => `side-${index}`);
    const site = new Site(names);
    site.setEntries(entries);
    return site;
  }

  setEntries(count: number): void {
    for (let index = 0; index < count; index += 1) {
      const address = `10.0.0.${index}:7720`;
      const size = this.sizes.get(address) ?? SubsetSize.create();
      this.sizes.set(address, size);
    }
    this.connect();
  }

  /** Lets each entry look at its agents once. */
  advance(): void {
    for (const [address, size] of this.sizes) {
      const linked = [...this.links.values()].filter(links =>
        links.includes(address),
      );
      const openLinks = linked.reduce((sum, {length}) => sum + length, 0);
      size.update(linked.length, openLinks);
    }
    this.connect();
  }

  countAgents(): Map<string, number> {
    const counts = new Map([...this.sizes.keys()].map(name => [name, 0]));
    for (const addresses of this.links.values()) {
      for (const address of addresses) {
        counts.set(address, (counts.get(address) ?? 0) + 1);
      }
    }
    return counts;
  }

  listLinkCounts(): number[] {
    return [...this.links.values()].map(({length}) => length);
  }

  private connect(): void {
    const links = new Map<string, readonly string[]>();
    for (const agent of this.agents) {
      const linked = this.links.get(agent) ?? [];
      const told = linked.map(name => this.sizes.get(name)?.value ?? 0);
      const ranked = rankAddresses(agent, this.sizes.keys());
      const count = chooseLinkCount(told, this.wanted.get(agent) ?? 4);
      this.wanted.set(agent, count);
      links.set(
        agent,
        listWanted(ranked, () => true, count),
      );
    }
    this.links = links;
  }
}

// Deterministic subsetting with a floor: with 11 agents, and four more entries, the
// entry with most of the callers kept four targets and refused 217 jobs while half of
// the processors of the site were free.
describe('The size of the subsets', () => {
  it('lets each entry reach all targets of a small site when entries are added', () => {
    const site = Site.create(11, 4);
    for (let second = 0; second < 3; second += 1) site.advance();
    site.setEntries(8);
    for (let second = 0; second < 3; second += 1) site.advance();
    for (const agents of site.countAgents().values()) {
      expect(agents).to.equal(11);
    }
  });

  for (const [agents, entries] of [
    [70, 12],
    [160, 35],
    [1000, 200],
  ]) {
    it(`adds next to no link with ${agents} agents and ${entries} entries`, () => {
      const site = Site.create(agents, entries);
      for (let second = 0; second < 10; second += 1) site.advance();
      const counts = site.listLinkCounts();
      const mean = counts.reduce((sum, count) => sum + count, 0) / agents;
      expect(mean).to.be.below(LINKS_PER_AGENT * 1.25);
      expect(Math.max(...counts)).to.be.at.most(12);
    });
  }

  it('settles, whatever the numbers of agents and entries', () => {
    for (const agents of [3, 20, 45, 80, 150]) {
      for (const entries of [2, 5, 12, 30]) {
        const site = Site.create(agents, entries);
        for (let second = 0; second < 20; second += 1) site.advance();
        const settled = site.listLinkCounts();
        site.advance();
        expect(site.listLinkCounts()).to.deep.equal(settled);
      }
    }
  });

  it('is not raised by one entry that has few agents by chance', () => {
    expect(chooseLinkCount([4, 12, 4, 4], 4)).to.equal(4);
    expect(chooseLinkCount([4, 12, 12, 4], 4)).to.equal(4);
    expect(chooseLinkCount([12, 12, 12, 4], 4)).to.equal(12);
  });

  it('is lowered once it is twice what is needed', () => {
    expect(chooseLinkCount([5, 5, 5], 8)).to.equal(8);
    expect(chooseLinkCount([4, 4, 4], 8)).to.equal(4);
    expect(chooseLinkCount([], 8)).to.equal(8);
  });

  it('is kept while no agent is linked', () => {
    const size = SubsetSize.create();
    expect(size.update(0, 0)).to.equal(false);
    expect(size.value).to.equal(LINKS_PER_AGENT);
  });
});
