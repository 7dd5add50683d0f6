/** Reading and checking of settings files. */
import {SettingsError} from '../core/errors.js';
import {fillDefaults, findMistakes} from './settings_check.js';
import {formatMistake} from './settings_mistake.js';
import type {SettingsMistake} from './settings_mistake.js';
import type {SettingsConflict, SettingsSchema} from './settings_schema.js';
import {SettingsSource} from './settings_source.js';

/**
 * Reads a settings file, checks it whole and fills in the defaults.
 *
 * @throws SettingsError that lists every mistake with file, line, column,
 *     path, what was found and what is allowed.
 */
export function readSettings<T>(path: string, schema: SettingsSchema<T>): T {
  return checkSettings(SettingsSource.create(path), schema);
}

/** Checks settings that have been read; throws as `readSettings` does. */
export function checkSettings<T>(
  source: SettingsSource,
  schema: SettingsSchema<T>,
): T {
  rejectFaults(source);
  const filled = fillDefaults(source.toValue(), schema.root);
  rejectMistakes(source, findMistakes(filled, schema.root));
  const completed = schema.complete(filled as T);
  const conflicts = schema.findConflicts(completed).map(toMistake);
  rejectMistakes(source, conflicts);
  return completed;
}

function toMistake(conflict: SettingsConflict): SettingsMistake {
  return {...conflict, isKey: false};
}

function rejectFaults(source: SettingsSource): void {
  const lines = source
    .listFaults()
    .map(({position, message}) =>
      [source.file, position.line, position.column, ` ${message}`].join(':'),
    );
  rejectLines(source.file, lines);
}

function rejectMistakes(
  source: SettingsSource,
  mistakes: readonly SettingsMistake[],
): void {
  const lines = mistakes.map(mistake =>
    formatMistake(source.file, source.locate(mistake), mistake),
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
