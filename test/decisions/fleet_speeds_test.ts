import {expect} from 'chai';
import {computeSpeeds} from '../../src/lib/decisions/fleet_speeds.js';

const KINDS = [0.6, 0.6, 0.6, 0.6, 1, 1, 1, 1, 1.6, 1.6, 1.6];

describe('computeSpeeds', () => {
  it('averages several kinds of target', () => {
    const {typical, fast} = computeSpeeds(KINDS);
    expect(typical).to.be.closeTo(0.95, 0.05);
    expect(fast * typical).to.be.closeTo(0.6, 1e-9);
  });

  // Two targets of the middle kind are drained and removed.
  it('changes little when two targets leave', () => {
    const {typical} = computeSpeeds(
      KINDS.filter((_, at) => at !== 4 && at !== 5),
    );
    expect(typical).to.be.closeTo(computeSpeeds(KINDS).typical, 0.05);
  });

  it('changes little when one target hangs', () => {
    const {typical} = computeSpeeds([...KINDS.slice(1), 20]);
    expect(typical / computeSpeeds(KINDS).typical).to.be.within(0.8, 1.25);
  });

  it('assumes typical speeds for a fleet without targets', () => {
    expect(computeSpeeds([])).to.deep.equal({typical: 1, fast: 1});
  });
});
