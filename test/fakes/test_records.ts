/** Texts of records for tests. */
import type {RecordIdentity} from '../../src/lib/records/record.js';

/** Writes a record as it stands in the store. */
export function formatTestRecord(
  identity: RecordIdentity,
  spec: unknown,
  more: object = {},
): string {
  return JSON.stringify({
    schemaVersion: 1,
    ...identity,
    writeId: 'w',
    by: 'test',
    spec,
    ...more,
  });
}
