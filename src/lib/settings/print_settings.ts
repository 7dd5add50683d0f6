/** Prints settings without their secrets. */
import {stringify} from 'yaml';
import type {SettingsNode, SettingsSchema} from './settings_schema.js';

/** Printed in place of a secret. */
export const HIDDEN_VALUE = '(hidden)';

/** Prints settings as YAML, defaults included and secrets hidden. */
export function printSettings<T>(
  settings: T,
  schema: SettingsSchema<T>,
): string {
  return stringify(hideSecrets(settings, schema.root));
}

function hideSecrets(value: unknown, node: SettingsNode): unknown {
  if (node.writeOnly && value !== undefined) return HIDDEN_VALUE;
  if (node.properties === undefined) return value;
  const section = value as Readonly<Record<string, unknown>>;
  return Object.fromEntries(
    Object.entries(section).map(([key, child]) => [
      key,
      hideSecrets(child, node.properties![key]),
    ]),
  );
}
