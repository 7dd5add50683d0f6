/** Mistakes in settings files, worded for the person who mends them. */
import {findNearestName} from './nearest_name.js';
import type {SettingsNode} from './settings_schema.js';

/** One mistake in a settings file. */
export interface SettingsMistake {
  /** Keys that lead to the setting. */
  readonly path: readonly string[];
  readonly found: string;
  readonly allowed: string;
  /** True when the mistake is the last key of `path` itself, not its value. */
  readonly isKey: boolean;
}

/** Place in a file, counted from 1. */
export interface SourcePosition {
  readonly line: number;
  readonly column: number;
}

const LONGEST_VALUE_SHOWN = 60;

/** Words a mistake as `FILE:LINE:COLUMN: path: found X; allowed: Y`. */
export function formatMistake(
  file: string,
  position: SourcePosition,
  mistake: SettingsMistake,
): string {
  const path = formatPath(mistake.path);
  const place = `${file}:${position.line}:${position.column}`;
  return `${place}: ${path}: found ${mistake.found}; allowed: ${mistake.allowed}`;
}

/** Describes a value that its setting does not take. */
export function describeInvalidValue(
  path: readonly string[],
  value: unknown,
  node: SettingsNode,
): SettingsMistake {
  return {
    path,
    found: node.writeOnly ? 'a value that is not shown' : showValue(value),
    allowed: describeAllowed(node),
    isKey: false,
  };
}

/** Describes a key that its section does not have, with the one that is nearest. */
export function describeUnknownKey(
  path: readonly string[],
  key: string,
  known: readonly string[],
): SettingsMistake {
  const nearest = findNearestName(key, known);
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
  return {
    path: [...path, key],
    found: `unknown key "${key}"`,
    allowed: known.join(', ') + hint,
    isKey: true,
  };
}

/** Describes a key that its section must have. */
export function describeMissingKey(
  path: readonly string[],
  key: string,
  node: SettingsNode,
): SettingsMistake {
  return {
    path: [...path, key],
    found: 'nothing',
    allowed: describeAllowed(node),
    isKey: false,
  };
}

/** Says in words which values a setting takes. */
export function describeAllowed(node: SettingsNode): string {
  if (node.enum !== undefined) return node.enum.map(String).join(' or ');
  switch (node.type) {
    case 'object':
      return `a section with ${Object.keys(node.properties ?? {}).join(', ')}`;
    case 'array':
      return `a list of at least ${node.minItems ?? 0}, each ${describeAllowed(node.items!)}`;
    case 'integer':
      return describeRange(node);
    case 'string':
      return describeText(node);
  }
}

function describeRange(node: SettingsNode): string {
  const lowest = node.minimum === undefined ? '' : ` from ${node.minimum}`;
  const highest = node.maximum === undefined ? '' : ` to ${node.maximum}`;
  return `an integer${lowest}${highest}`;
}

function describeText(node: SettingsNode): string {
  if (node.pattern !== undefined) return `text that matches ${node.pattern}`;
  return `text of at least ${node.minLength ?? 0} characters`;
}

function showValue(value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing';
  return text.length <= LONGEST_VALUE_SHOWN
    ? text
    : `${text.slice(0, LONGEST_VALUE_SHOWN)}...`;
}

function formatPath(path: readonly string[]): string {
  return path.length === 0 ? '(file)' : path.join('.');
}
