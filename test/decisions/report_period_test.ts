import {expect} from 'chai';
import {computeReportPeriod} from '../../src/lib/decisions/report_period.js';

// A report about each start and end to each entry: 160 agents with 20 starts a
// second sent 35 entries 6,400 reports a second.
describe('The period of target reports', () => {
  it('bounds the reports of an agent per second, whatever the number of links', () => {
    for (const links of [4, 12, 35, 200]) {
      const perSecond = (links * 1000) / computeReportPeriod(links);
      expect(perSecond, `${links} links`).to.be.at.most(60);
    }
  });

  it('is never below that of a burst of ends', () => {
    expect(computeReportPeriod(0)).to.be.at.least(10);
  });
});
