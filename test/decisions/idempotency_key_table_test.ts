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

function createTable(
  limits: Partial<KeyTableLimits> = {},
): IdempotencyKeyTable<string> {
  return IdempotencyKeyTable.create<string>({...LIMITS, ...limits});
}

describe('IdempotencyKeyTable', () => {
  it('runs a key once and then returns the same answer', () => {
    const table = createTable();
    const serial = table.openSession(0);
    const verdicts = [
      table.submit(serial, 'a', 'body', 1).verdict,
      table.submit(serial, 'a', 'body', 1).verdict,
    ];
    expect(verdicts).to.deep.equal([KeyVerdict.NEW, KeyVerdict.RUNNING]);
    table.settle(serial, 'a', 'answer', 6);
    expect(table.submit(serial, 'a', 'body', 2)).to.deep.equal({
      verdict: KeyVerdict.ANSWERED,
      answer: 'answer',
    });
  });

  it('refuses a key that was used with a different body', () => {
    const table = createTable();
    const serial = table.openSession(0);
    table.submit(serial, 'a', 'body', 1);
    const {verdict} = table.submit(serial, 'a', 'other', 1);
    expect(verdict).to.equal(KeyVerdict.REUSED);
  });

  it('never treats a key of a dropped session as new', () => {
    const table = createTable({keysAtMost: 8});
    const old = table.openSession(0);
    table.submit(old, 'a', 'body', 0);
    for (let i = 0; i < 8; i += 1) {
      const serial = table.openSession(1);
      table.submit(serial, 'k', 'body', 1);
    }
    expect(table.keys).to.be.at.most(8);
    for (const name of ['a', 'never-seen']) {
      const {verdict} = table.submit(old, name, 'body', 2);
      expect(verdict).to.equal(KeyVerdict.SESSION_ENDED);
    }
  });

  it('drops a whole session that was unused for its lifetime', () => {
    const table = createTable();
    const serial = table.openSession(0);
    table.submit(serial, 'a', 'body', 500);
    expect(table.lookUp(serial, 'a', 1400).verdict).to.equal(
      KeyVerdict.RUNNING,
    );
    expect(table.submit(serial, 'b', 'body', 2401).verdict).to.equal(
      KeyVerdict.SESSION_ENDED,
    );
    expect(table.keys).to.equal(0);
  });

  it('retains the key when its answer is dropped', () => {
    const table = createTable({answerBytesAtMost: 10});
    const serial = table.openSession(0);
    for (const name of ['a', 'b']) {
      table.submit(serial, name, 'body', 1);
      table.settle(serial, name, 'answer', 8);
    }
    expect(table.bytes).to.equal(8);
    expect(table.submit(serial, 'a', 'body', 2).verdict).to.equal(
      KeyVerdict.ANSWER_EXPIRED,
    );
  });

  it('lets a key be resubmitted whose job provably did not run', () => {
    const table = createTable();
    const serial = table.openSession(0);
    table.submit(serial, 'a', 'body', 1);
    table.release(serial, 'a');
    expect(table.submit(serial, 'a', 'other', 1).verdict).to.equal(
      KeyVerdict.NEW,
    );
  });

  it('reports that a session is full and retains its keys', () => {
    const table = createTable({keysAtMost: 8});
    const serial = table.openSession(0);
    for (const name of ['a', 'b']) table.submit(serial, name, 'body', 1);
    expect(table.submit(serial, 'c', 'body', 1).verdict).to.equal(
      KeyVerdict.SESSION_FULL,
    );
    expect(table.submit(serial, 'a', 'body', 1).verdict).to.equal(
      KeyVerdict.RUNNING,
    );
  });
});
