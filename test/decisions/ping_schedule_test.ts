import {expect} from 'chai';
import fc from 'fast-check';
import {OWNER_CONTACT_TIMEOUT_MS} from '../../src/lib/decisions/owner_contact.js';
import {PingSchedule} from '../../src/lib/decisions/ping_schedule.js';

/** System clock less the monotonic clock. */
const SYSTEM_OFFSET_MS = 1_700_000_000_030;

// Ten pings and ten answers a second on each link, besides the reports, were a
// third of what an agent with few runs sent and read.
describe('The schedule of pings and reports', () => {
  function countMessages(seconds: number) {
    const schedule = PingSchedule.create();
    const pingedAtMs: number[] = [];
    let reports = 0;
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 10) {
      const {isReportDue, isPingDue} = schedule.take(
        nowMs,
        SYSTEM_OFFSET_MS + nowMs,
      );
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
      const {isReportDue, isPingDue} = schedule.take(
        nowMs,
        SYSTEM_OFFSET_MS + nowMs,
      );
      if (isPingDue) expect(isReportDue).to.equal(true);
    }
  });

  it('tolerates a timer that fires a millisecond early', () => {
    const schedule = PingSchedule.create();
    schedule.take(0, SYSTEM_OFFSET_MS);
    const {isReportDue} = schedule.take(
      schedule.dueMs - 1,
      SYSTEM_OFFSET_MS + schedule.dueMs - 1,
    );
    expect(isReportDue).to.equal(true);
  });

  // A clock that is stepped moves the beat, and must not delay the proof of contact.
  it('leaves room for a lost answer while the system clock is stepped', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: -100_000, max: 100_000}), {minLength: 1}),
        steps => {
          const schedule = PingSchedule.create();
          const pingedAtMs: number[] = [];
          let offsetMs = SYSTEM_OFFSET_MS;
          for (let nowMs = 0; nowMs < 10_000; nowMs += 5) {
            if (nowMs % 70 === 0) offsetMs += steps[nowMs % steps.length];
            if (schedule.take(nowMs, offsetMs + nowMs).isPingDue) {
              pingedAtMs.push(nowMs);
            }
          }
          for (const [index, atMs] of pingedAtMs.slice(1).entries()) {
            const sinceMs = atMs - pingedAtMs[index];
            expect(sinceMs).to.be.below(OWNER_CONTACT_TIMEOUT_MS / 2);
          }
        },
      ),
    );
  });
});
