import {expect} from 'chai';
import {Chart} from '../../src/lib/core/chart.js';
import {readChartFile} from '../../src/lib/core/chart_file.js';
import {ChartInstance} from '../../src/lib/core/chart_instance.js';
import type {ChartDefinition} from '../../src/lib/core/chart_file.js';
import {ChartError} from '../../src/lib/core/errors.js';

enum LampState {
  OFF = 'off',
  ON = 'on',
}

enum LampEvent {
  PRESS = 'press',
  TIMEOUT = 'timer.timeout',
}

const LAMP: ChartDefinition = {
  id: 'lamp',
  description: 'A lamp.',
  initial: 'off',
  states: {
    off: {on: {press: {target: 'on', guard: 'isPowered', actions: ['light']}}},
    on: {on: {press: {target: 'off'}}, after: {timeout: {target: 'off'}}},
  },
};

const NAMES = {
  states: LampState,
  events: LampEvent,
  guards: ['isPowered'],
  actions: ['light'],
};

function createLamp(): Chart<LampState, LampEvent> {
  return Chart.create(LAMP, NAMES);
}

describe('Chart', () => {
  it('returns the next state and the actions of a transition', () => {
    const step = createLamp().step(LampState.OFF, LampEvent.PRESS, () => true);
    expect(step.state).to.equal(LampState.ON);
    expect(step.actions).to.deep.equal(['light']);
    expect(step.isHandled).to.equal(true);
  });

  it('stays in the state when the guard does not hold', () => {
    const step = createLamp().step(LampState.OFF, LampEvent.PRESS, () => false);
    expect(step.state).to.equal(LampState.OFF);
    expect(step.isHandled).to.equal(false);
  });

  it('evaluates guards again after a step was cached', () => {
    const lamp = createLamp();
    lamp.step(LampState.OFF, LampEvent.PRESS, () => false);
    const step = lamp.step(LampState.OFF, LampEvent.PRESS, () => true);
    expect(step.state).to.equal(LampState.ON);
  });

  it('reports an event without a transition as not handled', () => {
    const step = createLamp().step(LampState.OFF, LampEvent.TIMEOUT);
    expect(step.isHandled).to.equal(false);
  });

  const faults: Array<[string, ChartDefinition]> = [
    ['state "on" is unknown', {...LAMP, states: {off: LAMP.states.off}}],
    [
      'state "dim" cannot be reached',
      {...LAMP, states: {...LAMP.states, dim: {}}},
    ],
    [
      'event "kick" is unknown to the code',
      {
        ...LAMP,
        states: {...LAMP.states, on: {on: {kick: {target: 'off'}}}},
      },
    ],
    [
      'guard "isPowered" is unknown to the chart',
      {...LAMP, states: {...LAMP.states, off: {on: {press: {target: 'on'}}}}},
    ],
  ];
  for (const [text, definition] of faults) {
    it(`rejects a chart: ${text}`, () => {
      expect(() => Chart.create(definition, NAMES)).to.throw(ChartError, text);
    });
  }

  it('throws a ChartError if the file does not exist', () => {
    expect(() => readChartFile('nowhere.yaml')).to.throw(ChartError, 'nowhere');
  });
});

describe('ChartInstance', () => {
  it('runs the timers of the current state only', () => {
    const running = new Set<string>();
    const instance = ChartInstance.create(createLamp(), {
      startNamedTimer: name => {
        running.add(name);
        return () => running.delete(name);
      },
      fire: () => undefined,
      evaluate: () => true,
    });
    expect([...running]).to.deep.equal([]);
    instance.send(LampEvent.PRESS);
    expect([...running]).to.deep.equal(['timeout']);
    instance.send(LampEvent.TIMEOUT);
    expect([...running]).to.deep.equal([]);
    expect(instance.state).to.equal(LampState.OFF);
  });
});
