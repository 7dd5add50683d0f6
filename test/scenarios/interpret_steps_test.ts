import {expect} from 'chai';
import {interpretSteps} from '../../tools/scenario/interpret_steps.js';
import type {StepActions} from '../../tools/scenario/interpret_steps.js';
import {parseScenario} from '../../tools/scenario/read_scenario.js';
import {ScenarioError} from '../../tools/scenario/scenario_error.js';
import {StepKind} from '../../tools/scenario/step.js';

const HEAD = 'title: t\nproves: P1\nwithout: w\nexpect: []\n';

function createFakeActions(log: string[], failing = ''): StepActions {
  const kinds = Object.values(StepKind);
  const actions = kinds.map(kind => [
    kind,
    () => {
      log.push(kind);
      return kind === failing
        ? Promise.reject(new ScenarioError(`${kind} fails`))
        : Promise.resolve();
    },
  ]);
  return Object.fromEntries(actions) as StepActions;
}

async function runText(steps: string, failing = ''): Promise<string[]> {
  const log: string[] = [];
  const scenario = parseScenario(`${HEAD}steps:\n${steps}`, 'test');
  const actions = createFakeActions(log, failing);
  await interpretSteps(scenario.steps, actions, () => undefined).catch(
    (failure: Error) => log.push(failure.message),
  );
  return log;
}

describe('interpretSteps', () => {
  it('runs steps in file order', async () => {
    const log = await runText(
      '- kill: entry-1\n- restart: [entry-1]\n- observe: {ms: 5}\n',
    );
    expect(log).to.deep.equal(['kill', 'restart', 'observe']);
  });

  it('stops at the first step that fails', async () => {
    const log = await runText('- kill: a\n- freeze: b\n- thaw: b\n', 'freeze');
    expect(log).to.deep.equal(['kill', 'freeze', 'freeze fails']);
  });

  it('waits for all parallel steps before it reports a failure', async () => {
    const log = await runText(
      '- parallel: [{kill: a}, {freeze: b}]\n- thaw: b\n',
      'kill',
    );
    expect(log).to.deep.equal(['kill', 'freeze', 'kill fails']);
  });
});
