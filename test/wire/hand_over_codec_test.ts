import {expect} from 'chai';
import {Outcome, Problem, TaskEnd} from '../../src/lib/core/job.js';
import {HandOverPart} from '../../src/lib/wire/generated/foxtailbay.js';
import {
  encodeKeyTable,
  KeyTableCollector,
} from '../../src/lib/wire/hand_over_codec.js';
import type {KeyTableSnapshot} from '../../src/lib/entry/dispatcher_messages.js';

function createLedger(keys: number): KeyTableSnapshot {
  return {
    incarnation: 'old-life',
    sessions: [
      {serial: 1, unusedMs: 5, keys: []},
      {
        serial: 2,
        unusedMs: 7,
        keys: Array.from({length: keys}, (_, place) => ({
          name: `k${place}`,
          digest: 'd',
          answer: {
            outcome: Outcome.COMPLETE,
            problem: undefined,
            results: [Buffer.from(String(place))],
            faults: [],
          },
        })),
      },
      {
        serial: 3,
        unusedMs: 9,
        keys: [
          {name: 'running', digest: 'd', answer: undefined},
          {
            name: 'failed',
            digest: 'd',
            answer: {
              outcome: Outcome.FAILED,
              problem: Problem.TASK_FAILED,
              results: [],
              faults: [
                {
                  index: 3,
                  end: TaskEnd.FAILED,
                  targetStatus: 500,
                  detail: 'no band',
                },
              ],
            },
          },
        ],
      },
    ],
  };
}

describe('Handing ledgers over', () => {
  it('gives back what went in, through parts of bounded size', () => {
    const ledger = createLedger(1234);
    const collector = KeyTableCollector.create();
    let parts = 0;
    for (const part of encodeKeyTable(ledger)) {
      parts += 1;
      const bytes = HandOverPart.encode(part).finish();
      collector.add(HandOverPart.decode(bytes));
    }
    expect(parts).to.equal(5);
    const [returned] = collector.listSnapshots();
    expect(toPlain(returned)).to.deep.equal(toPlain(ledger));
  });
});

/** Results come back as other kinds of byte arrays. */
function toPlain(ledger: KeyTableSnapshot): unknown {
  return JSON.parse(
    JSON.stringify(ledger, (_name, value: unknown) =>
      value instanceof Uint8Array ? Buffer.from(value).toString() : value,
    ),
  );
}
