import {expect} from 'chai';
import {
  BODY_TIMEOUT_MS,
  ConfigurationRequests,
} from '../../src/lib/decisions/configuration_requests.js';

const HOLDERS = Array.from({length: 55}, (_, index) => ({
  id: `agent-${index}`,
  revision: 8,
}));

// Anti-entropy by version: a revision is heard of in every ping, and a body of
// 256 KB must not be sent to a host that has it, nor by many hosts at once.
describe('The requests for a newer configuration', () => {
  it('ask nobody while the body may still come from the store', () => {
    const requests = ConfigurationRequests.create(150);
    requests.add(8, 0);
    expect(requests.choose(7, HOLDERS, 100)).to.equal(undefined);
    expect(requests.choose(8, HOLDERS, 200)).to.equal(undefined);
  });

  it('ask one host at a time, whatever the number of hosts that have it', () => {
    const requests = ConfigurationRequests.create(150);
    let asked = 0;
    for (let nowMs = 0; nowMs < 150 + BODY_TIMEOUT_MS; nowMs += 10) {
      for (const {revision} of HOLDERS) requests.add(revision, nowMs);
      if (requests.choose(7, HOLDERS, nowMs) !== undefined) asked += 1;
    }
    expect(asked).to.equal(1);
  });

  it('ask another host when one does not answer', () => {
    const requests = ConfigurationRequests.create(0);
    requests.add(8, 0);
    const first = requests.choose(7, HOLDERS, 0);
    const second = requests.choose(7, HOLDERS, BODY_TIMEOUT_MS);
    expect(first?.id).not.to.equal(second?.id);
  });

  it('begin again when all hosts were asked in vain', () => {
    const requests = ConfigurationRequests.create(0);
    requests.add(8, 0);
    const [holder] = HOLDERS;
    const asked = [];
    for (let nowMs = 0; nowMs < 5 * BODY_TIMEOUT_MS; nowMs += 50) {
      asked.push(requests.choose(7, [holder], nowMs)?.id);
    }
    expect(asked.filter(id => id !== undefined).length).to.be.at.least(4);
  });

  it('do not ask a host with an older revision', () => {
    const requests = ConfigurationRequests.create(0);
    requests.add(8, 0);
    const older = [{id: 'a', revision: 7}];
    expect(requests.choose(7, older, 0)).to.equal(undefined);
  });

  it('wait anew for the store after the wanted body has arrived', () => {
    const requests = ConfigurationRequests.create(150);
    requests.add(8, 0);
    expect(requests.choose(7, HOLDERS, 200)).not.to.equal(undefined);
    expect(requests.choose(8, HOLDERS, 300)).to.equal(undefined);
    requests.add(9, 10_000);
    const holders = [{id: 'a', revision: 9}];
    expect(requests.choose(8, holders, 10_100)).to.equal(undefined);
    expect(requests.choose(8, holders, 10_150)?.id).to.equal('a');
  });
});
