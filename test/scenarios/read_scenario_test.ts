import {expect} from 'chai';
import {SettingsError} from '../../src/lib/core/errors.js';
import {ExpectationKind} from '../../tools/scenario/definition.js';
import {parseScenario} from '../../tools/scenario/read_scenario.js';

const FILE = `
title: An example
proves: [P1, P6]
without: the key's binding
steps:
  - submit: {name: one, via: entry-1}
expect:
  - answeredShareAtLeast: {atLeast: 1}
`;

describe('parseScenario', () => {
  it('fills in defaults', () => {
    const scenario = parseScenario(FILE, 'example');
    expect(scenario.fleet.entries).to.equal(2);
    expect(scenario.steps[0]).to.include({name: 'one', isKeyed: true});
  });

  it('adds the common expectations to every scenario', () => {
    const kinds = parseScenario(FILE, 'example').expect.map(line => line.kind);
    expect(kinds).to.include.members([
      ExpectationKind.DUPLICATE_STARTS,
      ExpectationKind.PARTIAL_ANSWERS,
      ExpectationKind.MIXED_ANSWERS,
      ExpectationKind.FALSE_DID_NOT_RUN,
      ExpectationKind.REVISIONS_FALLEN,
      ExpectationKind.ANSWERED_SHARE_AT_LEAST,
    ]);
  });

  const invalidEdits: Array<[string, string, string]> = [
    ['an unknown promise', 'P6', 'P12'],
    ['an unknown step', 'submit:', 'sumbit:'],
    ['a step that lacks a name', 'name: one, ', ''],
    ['an unknown expectation', 'answeredShareAtLeast', 'answeredShare'],
  ];
  for (const [text, before, after] of invalidEdits) {
    it(`rejects ${text}`, () => {
      const file = FILE.replace(before, after);
      expect(() => parseScenario(file, 'example')).to.throw(SettingsError);
    });
  }
});
