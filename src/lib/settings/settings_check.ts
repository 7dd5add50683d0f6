/** The check of settings against their schema. */
import {
  describeInvalidValue,
  describeMissingKey,
  describeUnknownKey,
} from './settings_mistake.js';
import type {SettingsMistake} from './settings_mistake.js';
import type {SettingsNode} from './settings_schema.js';

type Section = Readonly<Record<string, unknown>>;
type CheckValue = (value: never, node: SettingsNode) => boolean;

const CHECKS: Readonly<Record<SettingsNode['type'], CheckValue>> = {
  object: isSection,
  array: isList,
  integer: isInteger,
  string: isText,
};

/**
 * Fills in the defaults of a value; leaves alone what does not fit.
 *
 * Schemas of settings use a small part of JSON Schema; a general validator
 * would stay in the memory of an agent for one file at its start.
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

/** Lists every mistake in a value whose defaults are filled in. */
export function findMistakes(
  value: unknown,
  node: SettingsNode,
  path: readonly string[] = [],
): SettingsMistake[] {
  const isAllowed =
    CHECKS[node.type](value as never, node) &&
    (node.enum === undefined || node.enum.includes(value));
  if (!isAllowed) return [describeInvalidValue(path, value, node)];
  if (isSection(value)) return findSectionMistakes(value, node, path);
  if (!Array.isArray(value) || node.items === undefined) return [];
  const {items} = node;
  return value.flatMap((item, index) =>
    findMistakes(item, items, [...path, String(index)]),
  );
}

function findSectionMistakes(
  section: Section,
  node: SettingsNode,
  path: readonly string[],
): SettingsMistake[] {
  const {properties = {}, required = []} = node;
  const missing = required.filter(key => section[key] === undefined);
  return [
    ...missing.map(key => describeMissingKey(path, key, properties[key])),
    ...Object.entries(section).flatMap(([key, value]) =>
      Object.hasOwn(properties, key)
        ? findMistakes(value, properties[key], [...path, key])
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

function isText(value: unknown, node: SettingsNode): boolean {
  const {minLength = 0, pattern = ''} = node;
  return (
    typeof value === 'string' &&
    value.length >= minLength &&
    new RegExp(pattern, 'u').test(value)
  );
}
