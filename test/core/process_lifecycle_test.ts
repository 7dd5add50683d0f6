import {expect} from 'chai';
import {
  ProcessAction,
  ProcessEvent,
  ProcessLifecycle,
  ProcessState,
} from '../../src/lib/core/process_lifecycle.js';

interface Fixture {
  readonly lifecycle: ProcessLifecycle;
  readonly actions: ProcessAction[];
  /** Fires all running timers. */
  readonly fireTimers: () => void;
}

function createFixture(): Fixture {
  const actions: ProcessAction[] = [];
  const timers = new Set<() => void>();
  const lifecycle = ProcessLifecycle.create({
    noticeMs: 1,
    drainMs: 2,
    startTimer: (_delayMs, fire) => {
      timers.add(fire);
      return () => timers.delete(fire);
    },
    perform: action => actions.push(action),
    reportState: () => undefined,
  });
  const fireTimers = () => {
    for (const fire of [...timers]) fire();
  };
  return {lifecycle, actions, fireTimers};
}

function createDraining(): Fixture {
  const fixture = createFixture();
  fixture.lifecycle.send(ProcessEvent.READY);
  fixture.lifecycle.send(ProcessEvent.STOP);
  fixture.fireTimers();
  return fixture;
}

describe('ProcessLifecycle', () => {
  it('goes through notice, drain and hand-over before it stops', () => {
    const {lifecycle, actions} = createDraining();
    expect(lifecycle.state).to.equal(ProcessState.DRAINING);
    lifecycle.send(ProcessEvent.IDLE);
    lifecycle.send(ProcessEvent.RELEASED);
    expect(lifecycle.state).to.equal(ProcessState.STOPPED);
    expect(actions).to.deep.equal([
      ProcessAction.REFUSE_READINESS,
      ProcessAction.REFUSE_WORK,
      ProcessAction.HAND_OVER,
    ]);
  });

  it('ignores a second stop request', () => {
    const {lifecycle, actions} = createDraining();
    lifecycle.send(ProcessEvent.STOP);
    expect(lifecycle.state).to.equal(ProcessState.DRAINING);
    lifecycle.send(ProcessEvent.IDLE);
    lifecycle.send(ProcessEvent.STOP);
    expect(lifecycle.state).to.equal(ProcessState.RELEASING);
    const handOvers = actions.filter(each => each === ProcessAction.HAND_OVER);
    expect(handOvers).to.have.length(1);
  });

  it('does not stop before the notice period ends, even when idle', () => {
    const {lifecycle} = createFixture();
    lifecycle.send(ProcessEvent.READY);
    lifecycle.send(ProcessEvent.STOP);
    lifecycle.send(ProcessEvent.IDLE);
    expect(lifecycle.state).to.equal(ProcessState.LEAVING);
  });

  it('reports unfinished work at the drain limit and still hands over', () => {
    const {lifecycle, actions, fireTimers} = createDraining();
    fireTimers();
    expect(lifecycle.state).to.equal(ProcessState.RELEASING);
    expect(actions).to.include(ProcessAction.REPORT_UNFINISHED);
    expect(actions.at(-1)).to.equal(ProcessAction.HAND_OVER);
  });

  it('stops at the release limit if the hand-over does not complete', () => {
    const {lifecycle, fireTimers} = createDraining();
    lifecycle.send(ProcessEvent.IDLE);
    fireTimers();
    expect(lifecycle.state).to.equal(ProcessState.STOPPED);
  });
});
