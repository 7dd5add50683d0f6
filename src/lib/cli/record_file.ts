/** Files of configuration records, one or several in a file. */
import {parseAllDocuments} from 'yaml';
import {UsageError} from '../core/errors.js';
import {
  NEWEST_SCHEMA_VERSION,
  parseRecordKind,
  RECORD_NAME_PATTERN,
  RecordKind,
} from '../records/record.js';
import type {RecordIdentity} from '../records/record.js';

/** A record as an operator writes it. */
export interface RecordDraft extends RecordIdentity {
  readonly schemaVersion: number;
  readonly spec: unknown;
}

/**
 * Parses a file of records: YAML documents divided by `---`, or JSON.
 *
 * @throws UsageError if a record has no kind, name, schema version or spec.
 */
export function parseRecordFile(path: string, text: string): RecordDraft[] {
  const documents = parseAllDocuments(text);
  const drafts = [...documents].map((document, index) => {
    const location = `record ${index + 1} of ${path}`;
    if (document.errors.length > 0) {
      throw new UsageError(`${location}: ${document.errors[0].message}`);
    }
    return parseDraft(location, document.toJS());
  });
  if (drafts.length === 0) throw new UsageError(`${path} holds no record.`);
  return drafts;
}

/**
 * Parses the kind and name of a record from words of the command line.
 *
 * @throws UsageError if there is no such kind or the name cannot be one.
 */
export function parseIdentity(kindText: string, name: string): RecordIdentity {
  const kind = parseRecordKind(kindText);
  if (kind === undefined) {
    const kinds = Object.values(RecordKind).join(', ');
    throw new UsageError(`"${kindText}" is no kind of record: ${kinds}.`);
  }
  if (!RECORD_NAME_PATTERN.test(name)) {
    throw new UsageError(
      `"${name}" is no name of a record: 1 to 64 letters, digits, ".", "_" and "-".`,
    );
  }
  return {kind, name};
}

function parseDraft(location: string, value: unknown): RecordDraft {
  const draft = value as Partial<RecordDraft> | null;
  if (typeof draft?.kind !== 'string' || typeof draft.name !== 'string') {
    throw new UsageError(`${location} needs "kind" and "name".`);
  }
  if (draft.spec === undefined)
    throw new UsageError(`${location} needs "spec".`);
  const schemaVersion = draft.schemaVersion ?? NEWEST_SCHEMA_VERSION;
  if (!Number.isInteger(schemaVersion)) {
    throw new UsageError(
      `${location}: "schemaVersion" must be a whole number.`,
    );
  }
  const identity = parseIdentity(draft.kind, draft.name);
  return {...identity, schemaVersion, spec: draft.spec};
}
