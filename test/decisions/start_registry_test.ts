import {expect} from 'chai';
import {TaskEnd} from '../../src/lib/core/job.js';
import {NotStartedReason} from '../../src/lib/core/link_messages.js';
import type {StartOrder} from '../../src/lib/core/link_messages.js';
import {AgentTaskEvent} from '../../src/lib/decisions/agent_task.js';
import type {StartConditions} from '../../src/lib/decisions/agent_task.js';
import {StartRegistry} from '../../src/lib/decisions/start_registry.js';

const CONDITIONS: StartConditions = {
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

describe('StartRegistry', () => {
  it('accepts an order once, however often it arrives', () => {
    const registry = StartRegistry.create(4);
    registry.receive('e', createOrder(1), CONDITIONS);
    registry.receive('e', createOrder(1), CONDITIONS);
    expect(registry.queued).to.equal(1);
    const task = registry.startNext(CONDITIONS)!;
    registry.finish(task, ANSWERED, 1100);
    registry.acknowledge('e', [1]);
    expect(registry.receive('e', createOrder(1), CONDITIONS)).to.equal(
      undefined,
    );
    expect(registry.startNext(CONDITIONS)).to.equal(undefined);
  });

  it('accepts no order below the highest sequence received', () => {
    const registry = StartRegistry.create(4);
    registry.receive('e', createOrder(7), CONDITIONS);
    registry.receive('e', createOrder(6), CONDITIONS);
    expect(registry.queued).to.equal(1);
    expect(registry.getHighestSequence('e')).to.equal(7);
  });

  it('tracks the sequence of each entry incarnation separately', () => {
    const registry = StartRegistry.create(4);
    registry.receive('e', createOrder(7), CONDITIONS);
    registry.receive('f', createOrder(1), CONDITIONS);
    expect(registry.queued).to.equal(2);
  });

  it('starts no queued task after permission has expired', () => {
    const registry = StartRegistry.create(4);
    registry.receive('e', createOrder(1), CONDITIONS);
    const thawed = {...CONDITIONS, nowMs: CONDITIONS.permittedUntilMs};
    expect(registry.startNext(thawed)).to.equal(undefined);
  });

  it('respects the slots and the queue limit', () => {
    const registry = StartRegistry.create(1);
    const refusals = [1, 2, 3].map(sequence => {
      const refusal = registry.receive('e', createOrder(sequence), CONDITIONS);
      registry.startNext(CONDITIONS);
      return refusal?.reason;
    });
    expect(refusals).to.deep.equal([
      undefined,
      undefined,
      NotStartedReason.QUEUE_FULL,
    ]);
    expect(registry.running).to.equal(1);
  });

  it('returns waiting tasks but not running ones', () => {
    const registry = StartRegistry.create(4);
    registry.receive('e', createOrder(1), CONDITIONS);
    registry.startNext(CONDITIONS);
    registry.receive('e', createOrder(2), CONDITIONS);
    const reports = registry.withdraw('e', [1, 2]);
    expect(reports.map(report => report.sequence)).to.deep.equal([2]);
    expect(reports[0].end).to.equal(TaskEnd.NOT_STARTED);
  });

  it('returns a task whose time limit to start has passed', () => {
    const registry = StartRegistry.create(4);
    registry.receive('e', createOrder(1), CONDITIONS);
    expect(registry.expire(2999)).to.deep.equal([]);
    const [[entry, report]] = registry.expire(3000);
    expect(entry).to.equal('e');
    expect(report.reason).to.equal(NotStartedReason.EXPIRED);
  });

  it('retains an end until it is acknowledged', () => {
    const registry = StartRegistry.create(4);
    registry.receive('e', createOrder(1), CONDITIONS);
    registry.finish(registry.startNext(CONDITIONS)!, ANSWERED, 1100);
    expect(registry.listReports('e')).to.have.length(1);
    expect(registry.isIdle).to.equal(false);
    registry.acknowledge('e', [1]);
    expect(registry.listReports('e')).to.deep.equal([]);
    expect(registry.isIdle).to.equal(true);
  });

  it('reports an unknown end for a task whose connection broke', () => {
    const registry = StartRegistry.create(4);
    registry.receive('e', createOrder(1), CONDITIONS);
    const end = {...ANSWERED, event: AgentTaskEvent.BROKEN} as const;
    const report = registry.finish(registry.startNext(CONDITIONS)!, end, 1100);
    expect(report.end).to.equal(TaskEnd.UNKNOWN);
  });
});
