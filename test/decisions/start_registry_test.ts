import {expect} from 'chai';
import {TaskEnd} from '../../src/lib/core/job.js';
import {NotStartedReason} from '../../src/lib/core/link_messages.js';
import type {StartOrder} from '../../src/lib/core/link_messages.js';
import {AgentTaskEvent} from '../../src/lib/decisions/agent_task.js';
import type {StartConditions} from '../../src/lib/decisions/agent_task.js';
import {StartRegistry} from '../../src/lib/decisions/start_registry.js';

const WINDOW: StartConditions = {
  nowMs: 1000,
  permittedUntilMs: 5000,
  refusal: NotStartedReason.NONE,
  slots: 1,
};

function createOrder(sequence: number): StartOrder {
  return {
    sequence,
    job: 'j',
    index: sequence,
    team: 't',
    taskClass: 'c',
    payload: new Uint8Array(0),
    startWithinMs: 2000,
    runWithinMs: 1000,
    trace: '',
  };
}

const ANSWERED = {
  event: AgentTaskEvent.ANSWERED,
  result: new Uint8Array(0),
  targetStatus: 200,
} as const;

describe('StartBook', () => {
  it('takes an order once, however often it comes', () => {
    const book = StartRegistry.create(4);
    book.receive('e', createOrder(1), WINDOW);
    book.receive('e', createOrder(1), WINDOW);
    expect(book.queued).to.equal(1);
    const task = book.startNext(WINDOW)!;
    book.finish(task, ANSWERED, 1100);
    book.acknowledge('e', [1]);
    expect(book.receive('e', createOrder(1), WINDOW)).to.equal(undefined);
    expect(book.startNext(WINDOW)).to.equal(undefined);
  });

  it('takes no order below the highest it has seen', () => {
    const book = StartRegistry.create(4);
    book.receive('e', createOrder(7), WINDOW);
    book.receive('e', createOrder(6), WINDOW);
    expect(book.queued).to.equal(1);
    expect(book.getHighestSequence('e')).to.equal(7);
  });

  it('numbers the orders of each life of an entry by itself', () => {
    const book = StartRegistry.create(4);
    book.receive('e', createOrder(7), WINDOW);
    book.receive('f', createOrder(1), WINDOW);
    expect(book.queued).to.equal(2);
  });

  it('starts nothing after permission has expired, though it is queued', () => {
    const book = StartRegistry.create(4);
    book.receive('e', createOrder(1), WINDOW);
    const thawed = {...WINDOW, nowMs: WINDOW.permittedUntilMs};
    expect(book.startNext(thawed)).to.equal(undefined);
  });

  it('keeps to the slots and to the limit of the queue', () => {
    const book = StartRegistry.create(1);
    const refusals = [1, 2, 3].map(sequence => {
      const refusal = book.receive('e', createOrder(sequence), WINDOW);
      book.startNext(WINDOW);
      return refusal?.reason;
    });
    expect(refusals).to.deep.equal([
      undefined,
      undefined,
      NotStartedReason.QUEUE_FULL,
    ]);
    expect(book.running).to.equal(1);
  });

  it('gives back what waits and not what runs', () => {
    const book = StartRegistry.create(4);
    book.receive('e', createOrder(1), WINDOW);
    book.startNext(WINDOW);
    book.receive('e', createOrder(2), WINDOW);
    const reports = book.withdraw('e', [1, 2]);
    expect(reports.map(report => report.sequence)).to.deep.equal([2]);
    expect(reports[0].end).to.equal(TaskEnd.NOT_STARTED);
  });

  it('gives back a task whose time to start is over', () => {
    const book = StartRegistry.create(4);
    book.receive('e', createOrder(1), WINDOW);
    expect(book.expire(2999)).to.deep.equal([]);
    const [[entry, report]] = book.expire(3000);
    expect(entry).to.equal('e');
    expect(report.reason).to.equal(NotStartedReason.EXPIRED);
  });

  it('keeps an end until it is acknowledged', () => {
    const book = StartRegistry.create(4);
    book.receive('e', createOrder(1), WINDOW);
    book.finish(book.startNext(WINDOW)!, ANSWERED, 1100);
    expect(book.listReports('e')).to.have.length(1);
    expect(book.isIdle).to.equal(false);
    book.acknowledge('e', [1]);
    expect(book.listReports('e')).to.deep.equal([]);
    expect(book.isIdle).to.equal(true);
  });

  it('says that the end of a task whose connection broke is unknown', () => {
    const book = StartRegistry.create(4);
    book.receive('e', createOrder(1), WINDOW);
    const end = {...ANSWERED, event: AgentTaskEvent.BROKEN} as const;
    const report = book.finish(book.startNext(WINDOW)!, end, 1100);
    expect(report.end).to.equal(TaskEnd.UNKNOWN);
  });
});
