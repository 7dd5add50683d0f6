/** Generates the settings reference from the schemas. */
import {readFileSync} from 'node:fs';
import {AGENT_SETTINGS_SCHEMA} from '../src/lib/settings/agent_settings.js';
import {ENTRY_SETTINGS_SCHEMA} from '../src/lib/settings/entry_settings.js';
import {describeAllowed} from '../src/lib/settings/settings_violation.js';
import type {SettingsNode} from '../src/lib/settings/settings_schema.js';
import {formatMarkdownTable, GENERATED_NOTE} from './docs_markdown.js';

/** Composes the text of `docs/SETTINGS.md`. */
export function composeSettingsPage(): string {
  return [
    '# Settings',
    '',
    GENERATED_NOTE,
    '',
    'Each server reads one YAML file, named by `--settings`. It is checked whole',
    'before anything starts: each mistake is told with file, line, column, path,',
    'what was found and what is allowed, and the exit code is 1.',
    '`--check-config` only checks, `--print-config` prints the settings with their',
    'defaults and without secrets, and `foxtailbay check-config FILE --kind',
    'entry|agent` checks on any host. No environment variable overrides a file.',
    '',
    composeKind(ENTRY_SETTINGS_SCHEMA.root, 'examples/entry.yaml'),
    composeKind(AGENT_SETTINGS_SCHEMA.root, 'examples/agent.yaml'),
  ].join('\n');
}

function composeKind(root: SettingsNode, example: string): string {
  const heading = ['setting', 'default', 'allowed', 'meaning'];
  return [
    `## ${root.description.replace(/^Settings of |\.$/g, '')}`,
    `[\`${example}\`](../${example}):`,
    '',
    '```yaml',
    readFileSync(example, 'utf8').trimEnd(),
    '```',
    '',
    formatMarkdownTable(heading, listRows([], root, true)),
    '',
  ].join('\n');
}

function listRows(
  path: readonly string[],
  node: SettingsNode,
  isRequired: boolean,
): string[][] {
  if (node.properties === undefined) {
    return [describeSetting(path, node, isRequired)];
  }
  return Object.entries(node.properties).flatMap(([key, child]) =>
    listRows([...path, key], child, node.required?.includes(key) === true),
  );
}

function describeSetting(
  path: readonly string[],
  node: SettingsNode,
  isRequired: boolean,
): string[] {
  return [
    `\`${path.join('.')}\``,
    describeDefault(node, isRequired),
    describeAllowed(node),
    node.description,
  ];
}

function describeDefault(node: SettingsNode, isRequired: boolean): string {
  if (node.default !== undefined) return `\`${String(node.default)}\``;
  return isRequired ? 'required' : 'none';
}
