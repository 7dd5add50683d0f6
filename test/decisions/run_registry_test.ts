import {expect} from 'chai';
import {RunEvent, RunState} from '../../src/lib/decisions/held_run.js';
import {RunRegistry} from '../../src/lib/decisions/run_registry.js';
import {RunCommandKind} from '../../src/lib/decisions/run_command.js';
import type {RunCommand} from '../../src/lib/decisions/run_command.js';
import {RunEndCause, RunEnd} from '../../src/lib/core/work_frames.js';
import type {RunOrder} from '../../src/lib/core/work_frames.js';

const CAPACITY = {cpuMilli: 10_000, memoryMb: 1000, accelerators: 0};
const NEED = {cpuMilli: 4000, memoryMb: 100, accelerators: 0};

function createOrder(task: string, changes: Partial<RunOrder> = {}): RunOrder {
  return {
    task,
    run: 1,
    job: 'job',
    request: 'request',
    service: 'service',
    payload: '',
    need: NEED,
    estimateMs: 100,
    slackMs: 50,
    patienceMs: 150,
    sequence: 1,
    ...changes,
  };
}

function createRegistry() {
  const commands: RunCommand[] = [];
  const registry = RunRegistry.create(command => commands.push(command));
  registry.setCapacity(CAPACITY);
  const add = (task: string, changes?: Partial<RunOrder>) => {
    const run = registry.addOrder(createOrder(task, changes), 'entry', 0);
    registry.startNext(0, () => true);
    return run;
  };
  const listKinds = () => commands.map(command => command.kind);
  const listEnds = () =>
    commands.flatMap(command =>
      command.kind === RunCommandKind.REPORT_END ? [command.report] : [],
    );
  return {registry, add, commands, listKinds, listEnds};
}

describe('RunRegistry', () => {
  it('never starts more than fits the target', () => {
    const {registry, add} = createRegistry();
    const runs = ['a', 'b', 'c'].map(task => add(task));
    expect(runs.map(run => run.state)).to.deep.equal([
      RunState.STARTING,
      RunState.STARTING,
      RunState.QUEUED,
    ]);
    expect(registry.free.cpuMilli).to.equal(2000);
    expect(registry.uncommitted.cpuMilli).to.equal(-2000);
  });

  // Guards against a start beside a run that is being stopped on a target whose
  // capacity has shrunk below what runs.
  it('starts nothing while what runs or is being stopped is over the capacity', () => {
    const {registry, add} = createRegistry();
    const runs = ['a', 'b'].map(task => add(task));
    registry.setCapacity({...CAPACITY, cpuMilli: 4000});
    expect(registry.free.cpuMilli).to.equal(-4000);
    registry.applyEvent(runs[0], RunEvent.ACCEPTED, 1);
    registry.applyEvent(runs[0], RunEvent.STOP, 2);
    expect(add('c').state).to.equal(RunState.QUEUED);
    registry.applyEvent(runs[0], RunEvent.STOP_ANSWERED, 3);
    registry.applyLists([{task: 'b', run: 1, percent: 1}], [], 4, 4);
    registry.startNext(4, () => true);
    expect(registry.free.cpuMilli).to.equal(0);
    expect(registry.countQueued()).to.equal(1);
    registry.setCapacity(CAPACITY);
    registry.startNext(5, () => true);
    expect(registry.countQueued()).to.equal(0);
  });

  it('starts the order with the earliest latest start once it fits', () => {
    const {registry, add} = createRegistry();
    add('a');
    add('b');
    const relaxed = add('relaxed', {slackMs: 500});
    const urgent = add('urgent', {slackMs: 10});
    registry.applyLists(
      [],
      [{number: 1, task: 'a', run: 1, end: RunEnd.DONE}],
      0,
      1,
    );
    registry.startNext(1, () => true);
    expect(urgent.state).to.equal(RunState.STARTING);
    expect(relaxed.state).to.equal(RunState.QUEUED);
  });

  it('counts the capacity of a run that is being stopped', () => {
    const {registry, add} = createRegistry();
    const run = add('a');
    registry.applyEvent(run, RunEvent.ACCEPTED, 1);
    registry.applyEvent(run, RunEvent.STOP, 2, RunEndCause.STOP_REQUESTED);
    registry.applyEvent(run, RunEvent.STOP_ANSWERED, 3);
    expect(registry.free.cpuMilli).to.equal(6000);
    registry.applyLists([], [], 4, 5);
    expect(registry.free.cpuMilli).to.equal(10_000);
  });

  describe('with an unanswered order', () => {
    it('sends a stop until it is answered', () => {
      const {registry, add, listKinds} = createRegistry();
      const run = add('a');
      registry.applyEvent(run, RunEvent.UNANSWERED, 20);
      registry.applyEvent(run, RunEvent.STOP_UNANSWERED, 40);
      expect(listKinds()).to.deep.equal([
        RunCommandKind.SEND_START,
        RunCommandKind.SEND_STOP,
        RunCommandKind.SEND_STOP,
      ]);
    });

    it('ignores a run list that was requested before the stop was accepted', () => {
      const {registry, add, listEnds} = createRegistry();
      const run = add('a');
      registry.applyEvent(run, RunEvent.UNANSWERED, 20);
      registry.applyEvent(run, RunEvent.STOP_ANSWERED, 30);
      registry.applyLists([], [], 25, 31);
      expect(listEnds()).to.deep.equal([]);
      registry.applyLists([], [], 32, 33);
      expect(listEnds().map(({end}) => end)).to.deep.equal([RunEnd.STOPPED]);
    });

    it('does not end the run while a run list shows it', () => {
      const {registry, add, listEnds} = createRegistry();
      const run = add('a');
      registry.applyEvent(run, RunEvent.UNANSWERED, 20);
      registry.applyEvent(run, RunEvent.STOP_ANSWERED, 30);
      registry.applyLists([{task: 'a', run: 1, percent: 3}], [], 32, 33);
      expect(listEnds()).to.deep.equal([]);
      expect(registry.findRun('a', 1)?.state).to.equal(RunState.STOPPING);
    });

    it('marks the run as running if a run list shows it first', () => {
      const {registry, add} = createRegistry();
      const run = add('a');
      registry.applyLists([{task: 'a', run: 1, percent: 0}], [], 5, 6);
      expect(run.state).to.equal(RunState.RUNNING);
    });
  });

  it('applies each end once although the target lists it again', () => {
    const {registry, add, listEnds} = createRegistry();
    add('a');
    const ended = [{number: 1, task: 'a', run: 1, end: RunEnd.DONE}];
    registry.applyLists([], ended, 1, 2);
    add('a', {run: 2});
    registry.applyLists([], ended, 3, 4);
    expect(listEnds()).to.have.length(1);
    expect(registry.lastEndNumber).to.equal(1);
  });

  it('ends an order whose wait limit has passed', () => {
    const {registry, add, listEnds} = createRegistry();
    add('a');
    add('b');
    add('c', {patienceMs: 25});
    registry.expire(24);
    expect(listEnds()).to.deep.equal([]);
    registry.expire(25);
    const [end] = listEnds();
    expect(end).to.include({
      task: 'c',
      end: RunEnd.NOT_STARTED,
      cause: RunEndCause.NO_CAPACITY,
    });
  });

  it('reports runs as lost and orders as not started if the target is lost', () => {
    const {registry, add, listEnds} = createRegistry();
    for (const task of ['a', 'b']) {
      registry.applyEvent(add(task), RunEvent.ACCEPTED, 1);
    }
    add('c');
    registry.loseAll(9);
    expect(listEnds().map(({end}) => end)).to.deep.equal([
      RunEnd.LOST,
      RunEnd.LOST,
      RunEnd.NOT_STARTED,
    ]);
    expect(registry.free).to.deep.equal(CAPACITY);
  });

  // Guards against two runs of one task: the next incarnation of a target under
  // the same id carries out an order that the earlier one did not answer.
  describe('with an unanswered order to a target that is lost', () => {
    function loseTarget() {
      const fixture = createRegistry();
      const run = fixture.add('a');
      fixture.registry.applyEvent(run, RunEvent.UNANSWERED, 5);
      fixture.registry.loseAll(9);
      return {...fixture, run};
    }

    it('waits until earlier orders are fenced off', () => {
      const {registry, listEnds} = loseTarget();
      expect(listEnds()).to.deep.equal([]);
      registry.endUncertain(12);
      expect(listEnds().map(({end}) => end)).to.deep.equal([RunEnd.LOST]);
      expect(registry.free).to.deep.equal(CAPACITY);
    });

    it('does not wait if the connection of the order has broken', () => {
      const {registry, add, listEnds} = createRegistry();
      registry.applyEvent(add('a'), RunEvent.BROKEN, 5);
      registry.loseAll(9);
      expect(listEnds().map(({end}) => end)).to.deep.equal([RunEnd.LOST]);
      const {registry: other, run, listEnds: listOther} = loseTarget();
      other.applyEvent(run, RunEvent.BROKEN, 10);
      expect(listOther().map(({end}) => end)).to.deep.equal([RunEnd.LOST]);
    });

    it('waits no longer than an order may be delayed', () => {
      const {registry, listEnds} = loseTarget();
      registry.expire(14_000);
      expect(listEnds()).to.deep.equal([]);
      registry.expire(16_000);
      expect(listEnds().map(({end}) => end)).to.deep.equal([RunEnd.LOST]);
    });

    it('waits too if the lost incarnation had accepted its stop', () => {
      const {registry, add, listEnds} = createRegistry();
      const run = add('a');
      registry.applyEvent(run, RunEvent.UNANSWERED, 5);
      registry.applyEvent(run, RunEvent.STOP_ANSWERED, 6);
      registry.loseAll(9);
      expect(listEnds()).to.deep.equal([]);
    });

    it('stops the run if the next incarnation lists it', () => {
      const {registry, run, listEnds, listKinds} = loseTarget();
      registry.applyLists([{task: 'a', run: 1, percent: 0}], [], 10, 11);
      registry.endUncertain(11);
      expect(run.state).to.equal(RunState.REVOKING);
      expect(listKinds().at(-1)).to.equal(RunCommandKind.SEND_STOP);
      expect(listEnds()).to.deep.equal([]);
    });

    it('reports its end if the next incarnation has carried it out', () => {
      const {registry, listEnds} = loseTarget();
      registry.resetEnds();
      const ended = [{number: 1, task: 'a', run: 1, end: RunEnd.DONE}];
      registry.applyLists([], ended, 10, 11);
      expect(listEnds().map(({end}) => end)).to.deep.equal([RunEnd.DONE]);
    });
  });
});
