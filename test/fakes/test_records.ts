/** Stored records for tests. */
import type {RecordIdentity} from '../../src/lib/records/record.js';

/** Formats a record as it is stored; `more` overrides fields of the envelope. */
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
