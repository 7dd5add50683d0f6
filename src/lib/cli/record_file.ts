/** Parses files that contain one or more configuration records. */
import {parseAllDocuments} from 'yaml';
import {UsageError} from '../core/errors.js';
import {
  NEWEST_SCHEMA_VERSION,
  parseRecordKind,
  RECORD_NAME_PATTERN,
  RecordKind,
} from '../records/record.js';
import type {RecordIdentity} from '../records/record.js';

/** A record as an operator writes it in a file. */
export interface RecordDraft extends RecordIdentity {
  readonly schemaVersion: number;
  readonly spec: unknown;
}

/**
 * Parses a file of records: YAML documents separated by `---`, or JSON.
 *
 * @throws UsageError if the file cannot be parsed, is empty, or a record has no
 *     valid kind, name, schema version or spec.
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
  if (drafts.length === 0) throw new UsageError(`${path} contains no records.`);
  return drafts;
}

/**
 * Parses the kind and name of a record.
 *
 * @throws UsageError if the kind is unknown or the name is invalid.
 */
export function parseIdentity(kindText: string, name: string): RecordIdentity {
  const kind = parseRecordKind(kindText);
  if (kind === undefined) {
    const kinds = Object.values(RecordKind).join(', ');
    throw new UsageError(
      `Unknown record kind "${kindText}"; known kinds: ${kinds}.`,
    );
  }
  if (!RECORD_NAME_PATTERN.test(name)) {
    throw new UsageError(
      `Invalid record name "${name}"; allowed are 1 to 64 letters, digits, ".", "_" and "-".`,
    );
  }
  return {kind, name};
}

function parseDraft(location: string, value: unknown): RecordDraft {
  const draft = value as Partial<RecordDraft> | null;
  if (typeof draft?.kind !== 'string' || typeof draft.name !== 'string') {
    throw new UsageError(`${location} must have "kind" and "name".`);
  }
  if (draft.spec === undefined) {
    throw new UsageError(`${location} must have "spec".`);
  }
  const schemaVersion = draft.schemaVersion ?? NEWEST_SCHEMA_VERSION;
  if (!Number.isInteger(schemaVersion)) {
    throw new UsageError(`${location}: "schemaVersion" must be an integer.`);
  }
  const identity = parseIdentity(draft.kind, draft.name);
  return {...identity, schemaVersion, spec: draft.spec};
}
