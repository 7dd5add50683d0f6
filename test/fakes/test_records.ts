/** Stored records for tests. */
import type {RecordIdentity} from '../../src/lib/records/record.js';

/** Formats a record as it is stored; `overrides` replaces fields of the envelope. */
export function formatTestRecord(
  identity: RecordIdentity,
  spec: unknown,
  overrides: object = {},
): string {
  return JSON.stringify({
    schemaVersion: 1,
    ...identity,
    writeId: 'w',
    by: 'test',
    spec,
    ...overrides,
  });
}
