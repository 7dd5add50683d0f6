/** Validates settings against their schema. */
import {
  describeInvalidValue,
  describeMissingKey,
  describeUnknownKey,
} from './settings_violation.js';
import type {SettingsViolation} from './settings_violation.js';
import type {SettingsNode} from './settings_schema.js';

type Section = Readonly<Record<string, unknown>>;
type CheckValue = (value: never, node: SettingsNode) => boolean;

const CHECKS: Readonly<Record<SettingsNode['type'], CheckValue>> = {
  object: isSection,
  array: isList,
  integer: isInteger,
  string: isString,
};

/**
 * Fills in the defaults of a value; values that violate the schema are unchanged.
 *
 * Settings schemas use a small subset of JSON Schema. A general validator would
 * occupy an agent's memory permanently, although it reads one file at its start.
 */
export function fillDefaults(value: unknown, node: SettingsNode): unknown {
  const present = value === undefined ? node.default : value;
  const {properties} = node;
  if (properties === undefined || !isSection(present)) return present;
  const filled: Record<string, unknown> = {...present};
  for (const [key, child] of Object.entries(properties)) {
    const completed = fillDefaults(present[key], child);
    if (completed !== undefined) filled[key] = completed;
  }
  return filled;
}

/** Lists all violations in a value whose defaults are filled in. */
export function findViolations(
  value: unknown,
  node: SettingsNode,
  path: readonly string[] = [],
): SettingsViolation[] {
  const isAllowed =
    CHECKS[node.type](value as never, node) &&
    (node.enum === undefined || node.enum.includes(value));
  if (!isAllowed) return [describeInvalidValue(path, value, node)];
  if (isSection(value)) return findSectionViolations(value, node, path);
  if (!Array.isArray(value) || node.items === undefined) return [];
  const {items} = node;
  return value.flatMap((item, index) =>
    findViolations(item, items, [...path, String(index)]),
  );
}

function findSectionViolations(
  section: Section,
  node: SettingsNode,
  path: readonly string[],
): SettingsViolation[] {
  const {properties = {}, required = []} = node;
  const missing = required.filter(key => section[key] === undefined);
  return [
    ...missing.map(key => describeMissingKey(path, key, properties[key])),
    ...Object.entries(section).flatMap(([key, value]) =>
      Object.hasOwn(properties, key)
        ? findViolations(value, properties[key], [...path, key])
        : [describeUnknownKey(path, key, Object.keys(properties))],
    ),
  ];
}

function isSection(value: unknown): value is Section {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isList(value: unknown, {minItems = 0}: SettingsNode): boolean {
  return Array.isArray(value) && value.length >= minItems;
}

function isInteger(value: unknown, node: SettingsNode): boolean {
  const {minimum = -Infinity, maximum = Infinity} = node;
  return (
    typeof value === 'number' &&
    Number.isInteger(value) &&
    value >= minimum &&
    value <= maximum
  );
}

function isString(value: unknown, node: SettingsNode): boolean {
  const {minLength = 0, pattern = ''} = node;
  return (
    typeof value === 'string' &&
    value.length >= minLength &&
    new RegExp(pattern, 'u').test(value)
  );
}
