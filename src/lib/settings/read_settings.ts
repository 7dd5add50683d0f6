/** Reads and validates settings files. */
import {SettingsError} from '../core/errors.js';
import {fillDefaults, findViolations} from './settings_check.js';
import {formatViolation} from './settings_violation.js';
import type {SettingsViolation} from './settings_violation.js';
import type {SettingsConflict, SettingsSchema} from './settings_schema.js';
import {SettingsSource} from './settings_source.js';

/**
 * Reads a settings file, validates it and fills in the defaults.
 *
 * @throws SettingsError that lists every violation with file, line, column,
 *     path, the value found and the values allowed.
 */
export function readSettings<T>(path: string, schema: SettingsSchema<T>): T {
  return checkSettings(SettingsSource.create(path), schema);
}

/** Validates parsed settings and fills in the defaults; throws as `readSettings` does. */
export function checkSettings<T>(
  source: SettingsSource,
  schema: SettingsSchema<T>,
): T {
  rejectSyntaxErrors(source);
  const filled = fillDefaults(source.toValue(), schema.root);
  rejectViolations(source, findViolations(filled, schema.root));
  const completed = schema.complete(filled as T);
  const conflicts = schema.findConflicts(completed).map(toViolation);
  rejectViolations(source, conflicts);
  return completed;
}

function toViolation(conflict: SettingsConflict): SettingsViolation {
  return {...conflict, isKey: false};
}

function rejectSyntaxErrors(source: SettingsSource): void {
  const lines = source
    .listSyntaxErrors()
    .map(({position, message}) =>
      [source.file, position.line, position.column, ` ${message}`].join(':'),
    );
  rejectLines(source.file, lines);
}

function rejectViolations(
  source: SettingsSource,
  violations: readonly SettingsViolation[],
): void {
  const lines = violations.map(violation =>
    formatViolation(source.file, source.locate(violation), violation),
  );
  rejectLines(source.file, [...new Set(lines)]);
}

function rejectLines(file: string, lines: readonly string[]): void {
  if (lines.length === 0) return;
  const count = lines.length === 1 ? 'a mistake' : `${lines.length} mistakes`;
  throw new SettingsError(
    `Settings file ${file} has ${count}:\n${lines.join('\n')}`,
  );
}
