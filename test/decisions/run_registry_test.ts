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

function createBook() {
  const commands: RunCommand[] = [];
  const book = RunRegistry.create(command => commands.push(command));
  book.setCapacity(CAPACITY);
  const add = (task: string, changes?: Partial<RunOrder>) => {
    const run = book.addOrder(createOrder(task, changes), 'entry', 0);
    book.startNext(0);
    return run;
  };
  const listKinds = () => commands.map(command => command.kind);
  const listEnds = () =>
    commands.flatMap(command =>
      command.kind === RunCommandKind.REPORT_END ? [command.report] : [],
    );
  return {book, add, commands, listKinds, listEnds};
}

describe('RunBook', () => {
  it('never starts more than the target can hold', () => {
    const {book, add} = createBook();
    const runs = ['a', 'b', 'c'].map(task => add(task));
    expect(runs.map(run => run.state)).to.deep.equal([
      RunState.STARTING,
      RunState.STARTING,
      RunState.QUEUED,
    ]);
    expect(book.free.cpuMilli).to.equal(2000);
    expect(book.uncommitted.cpuMilli).to.equal(-2000);
  });

  it('starts the most pressing order first when room comes', () => {
    const {book, add} = createBook();
    add('a');
    add('b');
    const patient = add('patient', {slackMs: 500});
    const pressing = add('pressing', {slackMs: 10});
    book.applyLists(
      [],
      [{number: 1, task: 'a', run: 1, end: RunEnd.DONE}],
      0,
      1,
    );
    book.startNext(1);
    expect(pressing.state).to.equal(RunState.STARTING);
    expect(patient.state).to.equal(RunState.QUEUED);
  });

  it('keeps the room of a run that is being stopped', () => {
    const {book, add} = createBook();
    const run = add('a');
    book.applyEvent(run, RunEvent.ACCEPTED, 1);
    book.applyEvent(run, RunEvent.STOP, 2, RunEndCause.STOP_REQUESTED);
    book.applyEvent(run, RunEvent.STOP_ANSWERED, 3);
    expect(book.free.cpuMilli).to.equal(6000);
    book.applyLists([], [], 4, 5);
    expect(book.free.cpuMilli).to.equal(10_000);
  });

  describe('with an order that got no answer', () => {
    it('asks to stop it, and again until the stop is answered', () => {
      const {book, add, listKinds} = createBook();
      const run = add('a');
      book.applyEvent(run, RunEvent.UNANSWERED, 20);
      book.applyEvent(run, RunEvent.STOP_UNANSWERED, 40);
      expect(listKinds()).to.deep.equal([
        RunCommandKind.SEND_START,
        RunCommandKind.SEND_STOP,
        RunCommandKind.SEND_STOP,
      ]);
    });

    it('does not believe a list that was asked for before the stop was taken', () => {
      const {book, add, listEnds} = createBook();
      const run = add('a');
      book.applyEvent(run, RunEvent.UNANSWERED, 20);
      book.applyEvent(run, RunEvent.STOP_ANSWERED, 30);
      book.applyLists([], [], 25, 31);
      expect(listEnds()).to.deep.equal([]);
      book.applyLists([], [], 32, 33);
      expect(listEnds().map(({end}) => end)).to.deep.equal([RunEnd.STOPPED]);
    });

    it('does not give it back while it runs after all', () => {
      const {book, add, listEnds} = createBook();
      const run = add('a');
      book.applyEvent(run, RunEvent.UNANSWERED, 20);
      book.applyEvent(run, RunEvent.STOP_ANSWERED, 30);
      book.applyLists([{task: 'a', run: 1, percent: 3}], [], 32, 33);
      expect(listEnds()).to.deep.equal([]);
      expect(book.findRun('a', 1)?.state).to.equal(RunState.STOPPING);
    });

    it('takes it for running if a list shows it first', () => {
      const {book, add} = createBook();
      const run = add('a');
      book.applyLists([{task: 'a', run: 1, percent: 0}], [], 5, 6);
      expect(run.state).to.equal(RunState.RUNNING);
    });
  });

  it('takes each end once though the target lists it again', () => {
    const {book, add, listEnds} = createBook();
    add('a');
    const ended = [{number: 1, task: 'a', run: 1, end: RunEnd.DONE}];
    book.applyLists([], ended, 1, 2);
    add('a', {run: 2});
    book.applyLists([], ended, 3, 4);
    expect(listEnds()).to.have.length(1);
    expect(book.lastEndNumber).to.equal(1);
  });

  it('gives up an order that has waited longer than it may', () => {
    const {book, add, listEnds} = createBook();
    add('a');
    add('b');
    add('c', {patienceMs: 25});
    book.expire(24);
    expect(listEnds()).to.deep.equal([]);
    book.expire(25);
    const [end] = listEnds();
    expect(end).to.include({
      task: 'c',
      end: RunEnd.NOT_STARTED,
      cause: RunEndCause.NO_CAPACITY,
    });
  });

  it('reports runs as lost and orders as not started when the target is gone', () => {
    const {book, add, listEnds} = createBook();
    add('a');
    add('b');
    add('c');
    book.loseAll(9);
    expect(listEnds().map(({end}) => end)).to.deep.equal([
      RunEnd.LOST,
      RunEnd.LOST,
      RunEnd.NOT_STARTED,
    ]);
    expect(book.free).to.deep.equal(CAPACITY);
  });
});
