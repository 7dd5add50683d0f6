import {expect} from 'chai';
import {ResumeHold} from '../../src/lib/decisions/resume_hold.js';

const SYSTEM_MS = 1e12;

// A caller that got no answer submits its job to another entry; the entry that was
// frozen or cut off reads the first attempt up to 20 ms before the end of its
// connection, and placed the job a second time.
describe('The hold of placements after a freeze or a cut', () => {
  let hold: ResumeHold;
  let nowMs: number;

  function observe(afterMs: number, isConnected = true, suspendedMs = 0) {
    nowMs += afterMs;
    const systemMs = SYSTEM_MS + nowMs + suspendedMs;
    return hold.observe({nowMs, systemMs, isConnected});
  }

  beforeEach(() => {
    hold = ResumeHold.create();
    nowMs = 1000;
    observe(0);
  });

  function expectHold(): void {
    expect(hold.holdUntilMs - nowMs).to.be.within(20, 100);
  }

  it('does not begin while the checks run in time', () => {
    for (let tick = 0; tick < 40; tick += 1) {
      expect(observe(50)).to.equal(false);
    }
    expect(hold.holdUntilMs).to.be.below(nowMs);
  });

  it('begins at the first message after a freeze', () => {
    expect(observe(1600)).to.equal(true);
    expectHold();
    expect(observe(50)).to.equal(false);
  });

  it('begins when only the system clock shows that time has passed', () => {
    expect(observe(50, true, 1600)).to.equal(true);
    expectHold();
  });

  it('begins when an agent connects again after a cut', () => {
    for (let tick = 0; tick < 40; tick += 1) observe(50, false);
    expect(observe(50, true)).to.equal(true);
    expectHold();
  });

  it('does not begin when the agents are back within a moment', () => {
    for (let tick = 0; tick < 5; tick += 1) observe(50, false);
    expect(observe(50, true)).to.equal(false);
  });
});
