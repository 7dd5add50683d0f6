import {expect} from 'chai';
import {RecordKind} from '../../src/lib/records/record.js';
import {
  RecordFault,
  parseRecord,
  recoverRecord,
} from '../../src/lib/records/record_body.js';
import {formatTestRecord} from '../fakes/test_records.js';

const TEAM = {kind: RecordKind.TEAM, name: 'vn'};

describe('parseRecord', () => {
  it('upgrades a team from schema version 0 to version 1', () => {
    const old = parseRecord(
      TEAM,
      formatTestRecord(TEAM, {share: 3}, {schemaVersion: 0}),
    );
    const spec = {weight: 3, slotsAtMost: 0, tasksPerSecondAtMost: 0};
    expect(old).to.deep.equal(parseRecord(TEAM, formatTestRecord(TEAM, spec)));
    expect(old.isValid).to.equal(true);
  });

  const weight = {weight: 1, slotsAtMost: 0, tasksPerSecondAtMost: 0};
  const faults: Array<[string, RecordFault, string]> = [
    [
      'text that is not JSON',
      RecordFault.BODY_MALFORMED,
      '{"schemaVersion":1,',
    ],
    ['a list', RecordFault.BODY_MALFORMED, '[]'],
    ['null', RecordFault.BODY_MALFORMED, 'null'],
    [
      'another name',
      RecordFault.IDENTITY_MISMATCH,
      formatTestRecord({...TEAM, name: 'other'}, weight),
    ],
    [
      'a newer schema version',
      RecordFault.SCHEMA_NEWER,
      formatTestRecord(TEAM, weight, {schemaVersion: 2}),
    ],
    [
      'an unsupported schema version',
      RecordFault.SCHEMA_UNSUPPORTED,
      formatTestRecord(TEAM, weight, {schemaVersion: -1}),
    ],
    [
      'an unknown field',
      RecordFault.SPECIFICATION_INVALID,
      formatTestRecord(TEAM, {...weight, colour: 'red'}),
    ],
    [
      'a weight of 0',
      RecordFault.SPECIFICATION_INVALID,
      formatTestRecord(TEAM, {...weight, weight: 0}),
    ],
  ];
  for (const [what, fault, text] of faults) {
    it(`rejects ${what} as ${fault}`, () => {
      expect(parseRecord(TEAM, text)).to.include({isValid: false, fault});
    });
  }
});

describe('recoverRecord', () => {
  it('finds the newest valid version in the history', () => {
    const history = [
      {revision: 9, schemaVersion: 2, writeId: 'c', by: 'x', spec: {w: 1}},
      {revision: 8, schemaVersion: 0, writeId: 'b', by: 'x', spec: {share: 8}},
      {revision: 7, schemaVersion: 0, writeId: 'a', by: 'x', spec: {share: 7}},
    ];
    const text = formatTestRecord(TEAM, {w: 2}, {schemaVersion: 2, history});
    const record = recoverRecord(TEAM, text);
    expect(record?.specification).to.include({weight: 8});
  });
});
