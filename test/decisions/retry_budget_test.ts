import {expect} from 'chai';
import {
  FULL_BUDGET,
  isPaused,
  recordReturn,
  recordSend,
} from '../../src/lib/decisions/retry_budget.js';

describe('RetryBudget', () => {
  it('lasts if one task in twenty is returned', () => {
    let budget = FULL_BUDGET;
    for (let sent = 1; sent <= 10_000; sent += 1) {
      budget = recordSend(budget);
      if (sent % 20 === 0) budget = recordReturn(budget, 0);
      expect(isPaused(budget, 0)).to.equal(false);
    }
  });

  it('is soon exhausted if every task is returned', () => {
    let budget = FULL_BUDGET;
    let sent = 0;
    while (!isPaused(budget, 0)) {
      budget = recordReturn(recordSend(budget), 0);
      sent += 1;
    }
    expect(sent).to.be.within(200, 250);
    expect(isPaused(budget, 1000)).to.equal(false);
  });
});
