import {expect} from 'chai';
import {
  LINKS_PER_AGENT,
  listCandidates,
  listWanted,
  rankAddresses,
} from '../../src/lib/decisions/choose_links.js';

const ENTRIES = Array.from({length: 35}, (_, index) => `10.0.0.${index}:7720`);

function createAgents(count: number): string[] {
  return Array.from({length: count}, (_, index) => `side-${index}`);
}

function listLinks(agent: string, isUp: (address: string) => boolean) {
  const candidates = listCandidates(agent, ENTRIES);
  return listWanted(rankAddresses(agent, candidates), isUp).filter(isUp);
}

function countLinks(
  agents: readonly string[],
  isUp: (address: string) => boolean,
): Map<string, number> {
  const counts = new Map(ENTRIES.filter(isUp).map(address => [address, 0]));
  for (const agent of agents) {
    for (const address of listLinks(agent, isUp)) {
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
  }
  return counts;
}

// Deterministic subsetting by rendezvous hashing: 160 agents and 35 entries, as on
// the large deployment.
describe('The links of an agent', () => {
  it('are to every entry of a small fleet', () => {
    const addresses = ENTRIES.slice(0, LINKS_PER_AGENT);
    const wanted = listWanted(rankAddresses('a', addresses), () => true);
    expect(wanted).to.have.members(addresses);
  });

  it('do not grow with the fleet, nor does what an entry tells an agent', () => {
    const many = Array.from({length: 2000}, (_, index) => `10.1.0.${index}:1`);
    const wanted = listWanted(rankAddresses('a', many), () => true);
    expect(wanted).to.have.length(LINKS_PER_AGENT);
    expect(listCandidates('a', many).length).to.be.at.most(18);
  });

  it('give each entry between half and twice the mean number of agents', () => {
    const counts = [...countLinks(createAgents(160), () => true).values()];
    const mean = (160 * LINKS_PER_AGENT) / ENTRIES.length;
    expect(Math.min(...counts)).to.be.at.least(mean / 2);
    expect(Math.max(...counts)).to.be.at.most(mean * 2);
  });

  it('are refilled when a sixth of the entries is gone, spread over the rest', () => {
    const isUp = (address: string) => ENTRIES.indexOf(address) >= 6;
    const agents = createAgents(160);
    for (const agent of agents) {
      expect(listLinks(agent, isUp)).to.have.length(LINKS_PER_AGENT);
    }
    const counts = [...countLinks(agents, isUp).values()];
    const mean = (160 * LINKS_PER_AGENT) / counts.length;
    expect(Math.max(...counts)).to.be.at.most(mean * 2);
  });

  it('leave each entry agents when a zone of them is gone', () => {
    const rest = createAgents(160).filter((_, index) => index % 6 !== 0);
    const counts = [...countLinks(rest, () => true).values()];
    const mean = (rest.length * LINKS_PER_AGENT) / ENTRIES.length;
    expect(Math.min(...counts)).to.be.at.least(mean / 2);
  });

  it('change only by the replacement of the entry that is gone', () => {
    const [gone] = listLinks('side-1', () => true);
    const before = listLinks('side-1', () => true);
    const after = listLinks('side-1', address => address !== gone);
    expect(after.filter(address => !before.includes(address))).to.have.length(
      1,
    );
  });

  it('keep an unreachable entry in the list, so that it is tried again', () => {
    const ranked = rankAddresses('side-1', ENTRIES);
    const wanted = listWanted(ranked, address => address !== ranked[0]);
    expect(wanted).to.have.length(LINKS_PER_AGENT + 1);
    expect(wanted).to.include(ranked[0]);
  });
});
