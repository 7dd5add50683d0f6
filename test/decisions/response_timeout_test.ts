import {expect} from 'chai';
import {ResponseTimeout} from '../../src/lib/decisions/response_timeout.js';

describe('ResponseTimeout', () => {
  it('decreases to a few times the response time', () => {
    const time = ResponseTimeout.create();
    for (let answer = 0; answer < 60; answer += 1) time.record(4);
    expect(time.timeoutMs).to.be.at.most(25);
  });

  it('increases with slow responses, up to a bound', () => {
    const time = ResponseTimeout.create();
    for (let answer = 0; answer < 60; answer += 1) time.record(4);
    const before = time.timeoutMs;
    for (let answer = 0; answer < 5; answer += 1) time.record(60);
    expect(time.timeoutMs).to.be.above(before).and.at.most(120);
  });
});
