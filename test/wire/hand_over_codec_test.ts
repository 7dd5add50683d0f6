import {expect} from 'chai';
import {Outcome, Problem, TaskEnd} from '../../src/lib/core/job.js';
import {HandOverPart} from '../../src/lib/wire/generated/foxtailbay.js';
import {
  encodeKeyTable,
  KeyTableCollector,
} from '../../src/lib/wire/hand_over_codec.js';
import type {KeyTableSnapshot} from '../../src/lib/entry/dispatcher_messages.js';

function createKeyTable(keys: number): KeyTableSnapshot {
  return {
    incarnation: 'old-incarnation',
    sessions: [
      {serial: 1, unusedMs: 5, keys: []},
      {
        serial: 2,
        unusedMs: 7,
        keys: Array.from({length: keys}, (_, index) => ({
          name: `k${index}`,
          digest: 'd',
          answer: {
            outcome: Outcome.COMPLETE,
            problem: undefined,
            results: [Buffer.from(String(index))],
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

describe('HandOverCodec', () => {
  it('decodes the encoded key table from parts of bounded size', () => {
    const keyTable = createKeyTable(1234);
    const collector = KeyTableCollector.create();
    let parts = 0;
    for (const part of encodeKeyTable(keyTable)) {
      parts += 1;
      const bytes = HandOverPart.encode(part).finish();
      collector.add(HandOverPart.decode(bytes));
    }
    expect(parts).to.equal(5);
    const [returned] = collector.listSnapshots();
    expect(toPlain(returned)).to.deep.equal(toPlain(keyTable));
  });
});

/** Converts byte arrays to text: decoding returns another array type. */
function toPlain(keyTable: KeyTableSnapshot): unknown {
  return JSON.parse(
    JSON.stringify(keyTable, (_name, value: unknown) =>
      value instanceof Uint8Array ? Buffer.from(value).toString() : value,
    ),
  );
}
