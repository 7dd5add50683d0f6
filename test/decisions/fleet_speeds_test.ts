import {expect} from 'chai';
import {computeSpeeds} from '../../src/lib/decisions/fleet_speeds.js';

describe('computeSpeeds', () => {
  it('takes the median, whatever a few targets that hang do', () => {
    const {median, fast} = computeSpeeds([0.6, 1.6, 1, 20, 1, 0.6, 1.6]);
    expect({median, fast}).to.deep.equal({median: 1, fast: 1});
    expect(computeSpeeds([0.6, 0.6, 1, 1, 1.6, 1.6]).fast).to.equal(0.6);
  });

  it('takes a fleet without targets for an average one', () => {
    expect(computeSpeeds([])).to.deep.equal({median: 1, fast: 1});
  });
});
