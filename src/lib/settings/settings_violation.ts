/** Violations in settings files, and the messages that describe them. */
import {findNearestName} from './nearest_name.js';
import type {SettingsNode} from './settings_schema.js';

/** One violation of the schema in a settings file. */
export interface SettingsViolation {
  /** Keys from the root to the setting. */
  readonly path: readonly string[];
  readonly found: string;
  readonly allowed: string;
  /** Whether the last key of `path` is invalid, rather than its value. */
  readonly isKey: boolean;
}

/** Position in a file; lines and columns start at 1. */
export interface SourcePosition {
  readonly line: number;
  readonly column: number;
}

const MAX_VALUE_LENGTH = 60;

/** Formats a violation as `FILE:LINE:COLUMN: path: found X; allowed: Y`. */
export function formatViolation(
  file: string,
  position: SourcePosition,
  violation: SettingsViolation,
): string {
  const path = formatPath(violation.path);
  const place = `${file}:${position.line}:${position.column}`;
  return `${place}: ${path}: found ${violation.found}; allowed: ${violation.allowed}`;
}

/** Creates the violation for a value that its setting does not allow. */
export function describeInvalidValue(
  path: readonly string[],
  value: unknown,
  node: SettingsNode,
): SettingsViolation {
  return {
    path,
    found: node.writeOnly ? 'a value that is not shown' : showValue(value),
    allowed: describeAllowed(node),
    isKey: false,
  };
}

/** Creates the violation for an unknown key, with the nearest known key as a hint. */
export function describeUnknownKey(
  path: readonly string[],
  key: string,
  known: readonly string[],
): SettingsViolation {
  const nearest = findNearestName(key, known);
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
  return {
    path: [...path, key],
    found: `unknown key "${key}"`,
    allowed: known.join(', ') + hint,
    isKey: true,
  };
}

/** Creates the violation for a missing required key. */
export function describeMissingKey(
  path: readonly string[],
  key: string,
  node: SettingsNode,
): SettingsViolation {
  return {
    path: [...path, key],
    found: 'nothing',
    allowed: describeAllowed(node),
    isKey: false,
  };
}

/** Describes in words which values a setting allows. */
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
      return describeString(node);
  }
}

function describeRange(node: SettingsNode): string {
  const lowest = node.minimum === undefined ? '' : ` from ${node.minimum}`;
  const highest = node.maximum === undefined ? '' : ` to ${node.maximum}`;
  return `an integer${lowest}${highest}`;
}

function describeString(node: SettingsNode): string {
  if (node.pattern !== undefined) return `text that matches ${node.pattern}`;
  return `text of at least ${node.minLength ?? 0} characters`;
}

function showValue(value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing';
  return text.length <= MAX_VALUE_LENGTH
    ? text
    : `${text.slice(0, MAX_VALUE_LENGTH)}...`;
}

function formatPath(path: readonly string[]): string {
  return path.length === 0 ? '(file)' : path.join('.');
}
