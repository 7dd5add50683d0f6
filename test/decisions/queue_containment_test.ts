import {expect} from 'chai';
import {
  listConfined,
  QueueContainment,
} from '../../src/lib/decisions/queue_containment.js';

const AGENTS = Array.from({length: 12}, (_, index) => `agent-${index}`);
const CONFINEMENT_MS = 10_000;

// Guards against one queue whose jobs crash targets taking all targets of a
// service down, and with them the work of every other queue.
describe('QueueContainment', () => {
  it('confines a queue with a deadly task, and no other', () => {
    const containment = QueueContainment.create();
    expect(containment.isConfined('q', 1)).to.equal(false);
    containment.recordDeadly('q', 1);
    expect(containment.isConfined('q', 1)).to.equal(true);
    expect(containment.isConfined('other', 1)).to.equal(false);
  });

  it('ends once no deadly task has been proven for a while', () => {
    const containment = QueueContainment.create();
    containment.recordDeadly('q', 0);
    containment.recordDeadly('q', 100);
    expect(containment.isConfined('q', CONFINEMENT_MS)).to.equal(true);
    expect(containment.isConfined('q', CONFINEMENT_MS + 100)).to.equal(false);
  });

  it('leaves a quarter of the targets, whatever the order of the agents', () => {
    const confined = listConfined('q', AGENTS);
    expect(confined).to.have.lengthOf(3);
    expect(listConfined('q', [...AGENTS].reverse())).to.deep.equal(confined);
  });

  it('leaves at least one target', () => {
    expect(listConfined('q', ['agent-0'])).to.deep.equal(['agent-0']);
  });
});
