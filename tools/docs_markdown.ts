/** Pieces of Markdown that several generated pages use. */

/** Tells readers of a generated page how to change it. */
export const GENERATED_NOTE =
  '<!-- Made by `npm run docs`; change the sources, not this page. -->';

/** Formats a table. */
export function formatMarkdownTable(
  heading: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const rule = heading.map(() => '---');
  return [heading, rule, ...rows].map(formatRow).join('\n');
}

function formatRow(cells: readonly string[]): string {
  const escaped = cells.map(cell =>
    cell.replaceAll('|', '\\|').replaceAll('\n', ' '),
  );
  return `| ${escaped.join(' | ')} |`;
}
