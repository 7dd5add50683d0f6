import {expect} from 'chai';
import {StoreChangeKind} from '../../src/lib/store/platform_store.js';
import type {StoreChange} from '../../src/lib/store/platform_store.js';
import {applyRecords} from '../../src/lib/records/apply_records.js';
import type {RecordsMirror} from '../../src/lib/records/apply_records.js';
import {buildRecordsView} from '../../src/lib/records/build_view.js';
import {RecordKind} from '../../src/lib/records/record.js';
import {RecordFault} from '../../src/lib/records/record_body.js';
import {RecordState} from '../../src/lib/records/record_chart.js';
import {formatTestRecord} from '../fakes/test_records.js';

const FOLDER = '/f/records/';
const IDENTITY = {kind: RecordKind.DATA_CENTRE, name: 'a'};
const PATH = 'data-centre/a';
const EMPTY_MIRROR: RecordsMirror = {
  folder: FOLDER,
  revision: 0,
  records: new Map(),
};

function createChange(
  revision: number,
  value: string,
  kind = StoreChangeKind.WRITTEN,
): StoreChange {
  return {kind, key: FOLDER + PATH, value, revision};
}

function formatService(service: string, overrides: object = {}): string {
  return formatTestRecord(IDENTITY, {service}, overrides);
}

function applyAll(...changes: StoreChange[]) {
  return applyRecords(EMPTY_MIRROR, changes);
}

describe('applyRecords', () => {
  it('keeps the last valid version when a malformed and a newer-schema one follow', () => {
    const {records, reports} = applyAll(
      createChange(1, formatService('out')),
      createChange(2, '{broken'),
      createChange(3, formatService('in', {schemaVersion: 7})),
    );
    expect(records.get(PATH)?.state).to.equal(RecordState.HELD);
    expect(buildRecordsView(records).dataCentresOut).to.deep.equal(['a']);
    expect(reports.map(report => report.fault)).to.deep.equal([
      RecordFault.BODY_MALFORMED,
      RecordFault.SCHEMA_NEWER,
    ]);
    expect(reports.every(report => report.isOlderInForce)).to.equal(true);
  });

  it('puts the next valid version of a held record in force', () => {
    const {records} = applyAll(
      createChange(1, formatService('out')),
      createChange(2, '{broken'),
      createChange(3, formatService('in')),
    );
    expect(records.get(PATH)?.state).to.equal(RecordState.IN_FORCE);
    expect(buildRecordsView(records).dataCentresOut).to.deep.equal([]);
  });

  it('recovers the last valid version from the history when it has seen no other', () => {
    const history = [
      {
        revision: 1,
        schemaVersion: 1,
        writeId: 'w',
        by: 'x',
        spec: {service: 'out'},
      },
    ];
    const text = formatTestRecord(
      IDENTITY,
      {mode: 'drained'},
      {schemaVersion: 2, history},
    );
    const {records, reports} = applyAll(createChange(2, text));
    expect(records.get(PATH)?.state).to.equal(RecordState.HELD);
    expect(buildRecordsView(records).dataCentresOut).to.deep.equal(['a']);
    expect(reports[0].isOlderInForce).to.equal(true);
  });

  it('reports a record without a valid version and puts nothing in force', () => {
    const {records, reports} = applyAll(createChange(1, 'x'));
    expect(records.get(PATH)?.state).to.equal(RecordState.REJECTED);
    expect(buildRecordsView(records).dataCentresOut).to.deep.equal([]);
    expect(reports[0].isOlderInForce).to.equal(false);
  });

  it('removes a deleted record', () => {
    const {records} = applyAll(
      createChange(1, formatService('out')),
      createChange(2, '', StoreChangeKind.DELETED),
    );
    expect(records.size).to.equal(0);
  });

  it('ignores changes that are not newer than the mirror', () => {
    const {records} = applyAll(createChange(5, formatService('out')));
    const mirror = {folder: FOLDER, revision: 5, records};
    const stale = [
      createChange(3, formatService('in')),
      createChange(4, '', StoreChangeKind.DELETED),
    ];
    expect(applyRecords(mirror, stale).records).to.equal(records);
  });

  it('ignores keys of unknown kinds', () => {
    const change = {...createChange(1, '{}'), key: `${FOLDER}future-kind/a`};
    expect(applyRecords(EMPTY_MIRROR, [change]).reports).to.deep.equal([]);
  });
});
