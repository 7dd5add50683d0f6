import {expect} from 'chai';
import {OWNER_CONTACT_TIMEOUT_MS} from '../../src/lib/decisions/owner_contact.js';
import {PingSchedule} from '../../src/lib/decisions/ping_schedule.js';

// Ten pings and ten answers a second on each link, besides the reports, were a
// third of what an agent with few runs sent and read.
describe('The schedule of pings and reports', () => {
  function countMessages(seconds: number) {
    const schedule = PingSchedule.create();
    const pingedAtMs: number[] = [];
    let reports = 0;
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 10) {
      const {isReportDue, isPingDue} = schedule.take(nowMs);
      if (isReportDue) reports += 1;
      if (isPingDue) pingedAtMs.push(nowMs);
    }
    return {reports, pingedAtMs};
  }

  it('has at most ten messages and five answers a second on a link', () => {
    const {reports, pingedAtMs} = countMessages(10);
    expect(reports).to.be.at.most(101);
    expect(pingedAtMs.length).to.be.at.most(51);
  });

  it('leaves room for two lost answers before runs are stopped', () => {
    const {pingedAtMs} = countMessages(3);
    for (const [index, atMs] of pingedAtMs.slice(2).entries()) {
      const sinceMs = atMs - pingedAtMs[index];
      expect(sinceMs).to.be.below(OWNER_CONTACT_TIMEOUT_MS - 100);
    }
  });

  it('sends each ping with a report, in one message', () => {
    const schedule = PingSchedule.create();
    for (let nowMs = 0; nowMs < 1000; nowMs += 7) {
      const {isReportDue, isPingDue} = schedule.take(nowMs);
      if (isPingDue) expect(isReportDue).to.equal(true);
    }
  });

  it('tolerates a timer that fires a millisecond early', () => {
    const schedule = PingSchedule.create();
    schedule.take(0);
    expect(schedule.take(99).isReportDue).to.equal(true);
  });
});
