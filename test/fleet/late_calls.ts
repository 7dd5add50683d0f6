/** What becomes of an agent's calls when its target ends. */
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import type {
  OrderAnswer,
  StartCall,
} from '../../src/lib/work/agent/target_api.js';
import {waitUntil} from '../wait_until.js';
import type {FleetFixture, WrapConnection} from './fleet_fixture.js';

const BROKEN: OrderAnswer = {
  outcome: OrderOutcome.BROKEN,
  reason: '',
  clockMs: 0,
};

/**
 * Delays the calls to a target that has ended, so that its agent still takes an
 * order: hold calls until one is on its way, that order until the agent has found
 * out that the target has ended.
 *
 * @param isLate Returns whether the calls of the agent are delayed now.
 */
export function createLateCalls(
  fleet: FleetFixture,
  name: string,
  isLate: () => boolean,
): WrapConnection {
  let ordersOnTheirWay = 0;
  const countLosses = () =>
    fleet.lines.filter(
      ({process, event}) =>
        process === `agent-${name}` && event === FleetEvent.TARGET_LOST,
    ).length;
  return (connection, target) => ({
    ...connection,
    start: async call => {
      if (target.isOpen || !isLate()) return connection.start(call);
      ordersOnTheirWay += 1;
      const losses = countLosses();
      await waitUntil(
        `the agent of ${name} has lost its target`,
        () => target.isOpen || countLosses() > losses,
      );
      ordersOnTheirWay -= 1;
      return connection.start(call);
    },
    hold: async call => {
      await waitUntil(
        `an order for ${name} is on its way`,
        () => target.isOpen || !isLate() || ordersOnTheirWay > 0,
      );
      return connection.hold(call);
    },
  });
}

/**
 * Breaks the connection of an order as it is sent.
 *
 * @param endTarget Ends the target if the order is one that does not arrive.
 */
export function createCutOrders(
  endTarget: (call: StartCall) => void,
): WrapConnection {
  return connection => ({
    ...connection,
    start: call => {
      const answer = connection.start(call);
      endTarget(call);
      return answer;
    },
  });
}

/**
 * Loses answers to orders that the target carries out: the connection breaks when
 * the target ends.
 */
export function createLostAnswers(
  isLost: (answer: OrderAnswer) => boolean,
): WrapConnection {
  return (connection, target) => ({
    ...connection,
    start: async call => {
      const answer = await connection.start(call);
      if (!isLost(answer)) return answer;
      await waitUntil('the target ends', () => !target.isOpen);
      return BROKEN;
    },
  });
}
