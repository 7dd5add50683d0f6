import {expect} from 'chai';
import {
  IdempotencyKeyTable,
  KeyVerdict,
} from '../../src/lib/decisions/idempotency_key_table.js';
import type {KeyTableLimits} from '../../src/lib/decisions/idempotency_key_table.js';

const LIMITS: KeyTableLimits = {
  lifetimeMs: 1000,
  keysAtMost: 8,
  answerBytesAtMost: 100,
};

function createLedger(
  limits: Partial<KeyTableLimits> = {},
): IdempotencyKeyTable<string> {
  return IdempotencyKeyTable.create<string>({...LIMITS, ...limits});
}

describe('KeyLedger', () => {
  it('runs a key once and then gives the same answer', () => {
    const ledger = createLedger();
    const serial = ledger.openSession(0);
    const verdicts = [
      ledger.submit(serial, 'a', 'body', 1).verdict,
      ledger.submit(serial, 'a', 'body', 1).verdict,
    ];
    expect(verdicts).to.deep.equal([KeyVerdict.NEW, KeyVerdict.RUNNING]);
    ledger.settle(serial, 'a', 'answer', 6);
    expect(ledger.submit(serial, 'a', 'body', 2)).to.deep.equal({
      verdict: KeyVerdict.ANSWERED,
      answer: 'answer',
    });
  });

  it('refuses a key that stands for another body', () => {
    const ledger = createLedger();
    const serial = ledger.openSession(0);
    ledger.submit(serial, 'a', 'body', 1);
    const {verdict} = ledger.submit(serial, 'a', 'other', 1);
    expect(verdict).to.equal(KeyVerdict.REUSED);
  });

  it('never takes a key of a dropped session for new', () => {
    const ledger = createLedger({keysAtMost: 8});
    const old = ledger.openSession(0);
    ledger.submit(old, 'a', 'body', 0);
    for (let i = 0; i < 8; i += 1) {
      const serial = ledger.openSession(1);
      ledger.submit(serial, 'k', 'body', 1);
    }
    expect(ledger.keys).to.be.at.most(8);
    for (const name of ['a', 'never-seen']) {
      const {verdict} = ledger.submit(old, name, 'body', 2);
      expect(verdict).to.equal(KeyVerdict.SESSION_ENDED);
    }
  });

  it('drops a session that was unused for its lifetime, as a whole', () => {
    const ledger = createLedger();
    const serial = ledger.openSession(0);
    ledger.submit(serial, 'a', 'body', 500);
    expect(ledger.lookUp(serial, 'a', 1400).verdict).to.equal(
      KeyVerdict.RUNNING,
    );
    expect(ledger.submit(serial, 'b', 'body', 2401).verdict).to.equal(
      KeyVerdict.SESSION_ENDED,
    );
    expect(ledger.keys).to.equal(0);
  });

  it('keeps the key when the answer has to go', () => {
    const ledger = createLedger({answerBytesAtMost: 10});
    const serial = ledger.openSession(0);
    for (const name of ['a', 'b']) {
      ledger.submit(serial, name, 'body', 1);
      ledger.settle(serial, name, 'answer', 8);
    }
    expect(ledger.bytes).to.equal(8);
    expect(ledger.submit(serial, 'a', 'body', 2).verdict).to.equal(
      KeyVerdict.ANSWER_EXPIRED,
    );
  });

  it('lets a key come again whose job provably did not run', () => {
    const ledger = createLedger();
    const serial = ledger.openSession(0);
    ledger.submit(serial, 'a', 'body', 1);
    ledger.release(serial, 'a');
    expect(ledger.submit(serial, 'a', 'other', 1).verdict).to.equal(
      KeyVerdict.NEW,
    );
  });

  it('says that a session is full without forgetting its keys', () => {
    const ledger = createLedger({keysAtMost: 8});
    const serial = ledger.openSession(0);
    for (const name of ['a', 'b']) ledger.submit(serial, name, 'body', 1);
    expect(ledger.submit(serial, 'c', 'body', 1).verdict).to.equal(
      KeyVerdict.SESSION_FULL,
    );
    expect(ledger.submit(serial, 'a', 'body', 1).verdict).to.equal(
      KeyVerdict.RUNNING,
    );
  });
});
