import {expect} from 'chai';
import {
  ProcessAction,
  ProcessEvent,
  ProcessLifecycle,
  ProcessState,
} from '../../src/lib/core/process_lifecycle.js';

interface Trial {
  readonly life: ProcessLifecycle;
  readonly actions: ProcessAction[];
  /** Fires the timers that run now. */
  readonly fireTimers: () => void;
}

function createTrial(): Trial {
  const actions: ProcessAction[] = [];
  const timers = new Set<() => void>();
  const life = ProcessLifecycle.create({
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
  return {life, actions, fireTimers};
}

function createDraining(): Trial {
  const trial = createTrial();
  trial.life.send(ProcessEvent.READY);
  trial.life.send(ProcessEvent.STOP);
  trial.fireTimers();
  return trial;
}

describe('ProcessLife', () => {
  it('gives notice, drains, hands over and stops', () => {
    const {life, actions} = createDraining();
    expect(life.state).to.equal(ProcessState.DRAINING);
    life.send(ProcessEvent.IDLE);
    life.send(ProcessEvent.RELEASED);
    expect(life.state).to.equal(ProcessState.STOPPED);
    expect(actions).to.deep.equal([
      ProcessAction.REFUSE_READINESS,
      ProcessAction.REFUSE_WORK,
      ProcessAction.HAND_OVER,
    ]);
  });

  it('changes nothing at a second signal', () => {
    const {life, actions} = createDraining();
    life.send(ProcessEvent.STOP);
    expect(life.state).to.equal(ProcessState.DRAINING);
    life.send(ProcessEvent.IDLE);
    life.send(ProcessEvent.STOP);
    expect(life.state).to.equal(ProcessState.RELEASING);
    const handOvers = actions.filter(each => each === ProcessAction.HAND_OVER);
    expect(handOvers).to.have.length(1);
  });

  it('does not stop for idleness before the notice is over', () => {
    const {life} = createTrial();
    life.send(ProcessEvent.READY);
    life.send(ProcessEvent.STOP);
    life.send(ProcessEvent.IDLE);
    expect(life.state).to.equal(ProcessState.LEAVING);
  });

  it('reports work that outlasts the drain, and hands over all the same', () => {
    const {life, actions, fireTimers} = createDraining();
    fireTimers();
    expect(life.state).to.equal(ProcessState.RELEASING);
    expect(actions).to.include(ProcessAction.REPORT_UNFINISHED);
    expect(actions.at(-1)).to.equal(ProcessAction.HAND_OVER);
  });

  it('stops though nobody takes over', () => {
    const {life, fireTimers} = createDraining();
    life.send(ProcessEvent.IDLE);
    fireTimers();
    expect(life.state).to.equal(ProcessState.STOPPED);
  });
});
