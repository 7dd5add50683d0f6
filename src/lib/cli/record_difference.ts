/** Compares a record in a file with the stored one. */
import type {StoredRecord} from './administration_documents.js';
import type {RecordDraft} from './record_file.js';

/** How a field differs between the stored record and the draft. */
export enum DifferenceKind {
  ADDED = 'added',
  REMOVED = 'removed',
  CHANGED = 'changed',
}

/** A field whose value differs. */
export interface Difference {
  readonly kind: DifferenceKind;
  /** Path of the field, joined by dots. */
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** Lists the fields of the stored record that the draft changes. */
export function compareRecord(
  stored: StoredRecord | undefined,
  draft: RecordDraft,
): Difference[] {
  const before =
    stored === undefined
      ? {}
      : {schemaVersion: stored.schemaVersion, spec: stored.spec};
  const {schemaVersion, spec} = draft;
  return compareValues('', before, {schemaVersion, spec});
}

/**
 * Formats a difference as an indented line that begins with `+`, `-` or `~`.
 */
export function formatDifference(difference: Difference): string {
  const {kind, path, before, after} = difference;
  switch (kind) {
    case DifferenceKind.ADDED:
      return `  + ${path}: ${JSON.stringify(after)}`;
    case DifferenceKind.REMOVED:
      return `  - ${path}: ${JSON.stringify(before)}`;
    case DifferenceKind.CHANGED:
      return `  ~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
  }
}

function compareValues(
  path: string,
  before: unknown,
  after: unknown,
): Difference[] {
  if (isObject(before) && isObject(after)) {
    const names = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...names].flatMap(name =>
      compareValues(
        path === '' ? name : `${path}.${name}`,
        before[name],
        after[name],
      ),
    );
  }
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  return [{kind: chooseKind(before, after), path, before, after}];
}

function chooseKind(before: unknown, after: unknown): DifferenceKind {
  if (before === undefined) return DifferenceKind.ADDED;
  return after === undefined ? DifferenceKind.REMOVED : DifferenceKind.CHANGED;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
