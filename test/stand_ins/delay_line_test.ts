import {expect} from 'chai';
import {DelayLine, StreamEnd} from '../../stand_ins/delay_line.js';
import type {StreamItem} from '../../stand_ins/delay_line.js';

/** Creates a line on a simulated clock whose timers fire `lateMs` late. */
function createLine(delayMs: number, lateMs = 0) {
  const clock = {nowMs: 0};
  const timers: Array<{atMs: number; fire: () => void}> = [];
  const delivered: Array<{item: StreamItem; atMs: number}> = [];
  const line = DelayLine.create(
    {
      readMonotonicMs: () => clock.nowMs,
      startTimer: (ms, fire) => {
        const timer = {atMs: clock.nowMs + ms + lateMs, fire};
        timers.push(timer);
        return () => void timers.splice(timers.indexOf(timer), 1);
      },
      deliver: item => delivered.push({item, atMs: clock.nowMs}),
    },
    {delayMs, isHeld: false},
  );
  const advance = (toMs: number) => {
    for (;;) {
      const next = timers.find(timer => timer.atMs <= toMs);
      if (next === undefined) break;
      timers.splice(timers.indexOf(next), 1);
      clock.nowMs = next.atMs;
      next.fire();
    }
    clock.nowMs = toMs;
  };
  return {line, advance, delivered, clock};
}

describe('DelayLine', () => {
  it('keeps the order when the delay becomes shorter', () => {
    const {line, advance, delivered} = createLine(10);
    line.push(Buffer.from('a'));
    line.setRule({delayMs: 0, isHeld: false});
    line.push(StreamEnd.FINISHED);
    advance(20);
    expect(delivered.map(({item}) => String(item))).to.deep.equal([
      'a',
      StreamEnd.FINISHED,
    ]);
    expect(line.backlogBytes).to.equal(0);
  });

  it('queues items while held and delivers them when released', () => {
    const {line, advance, delivered} = createLine(1);
    line.setRule({delayMs: 1, isHeld: true});
    line.push(Buffer.from('tea'));
    advance(1000);
    expect(delivered).to.deep.equal([]);
    expect(line.backlogBytes).to.equal(3);
    line.setRule({delayMs: 1, isHeld: false});
    expect(delivered).to.have.length(1);
  });

  it('drops items while lossy and reports the gap', () => {
    const {line, advance, delivered} = createLine(1);
    line.setRule({delayMs: 1, isHeld: false, isLossy: true});
    line.push(Buffer.from('tea'));
    line.setRule({delayMs: 1, isHeld: false});
    advance(1000);
    expect(delivered).to.deep.equal([]);
    expect(line.hasGap).to.equal(true);
  });

  it('averages a fractional delay although timers count whole milliseconds', () => {
    const {line, advance, delivered, clock} = createLine(1.5, 0.25);
    for (let i = 0; i < 200; i += 1) {
      line.push(Buffer.from('x'));
      advance(clock.nowMs + 10);
    }
    const delays = delivered.map(({atMs}, i) => atMs - 10 * i);
    const mean = delays.reduce((sum, delay) => sum + delay, 0) / delays.length;
    expect(mean).to.be.closeTo(1.5, 0.1);
  });
});
