/** Markdown formatting shared by the generated pages. */

/** Comment at the head of a generated page that says where to change it. */
export const GENERATED_NOTE =
  '<!-- Made by `npm run docs`; change the sources, not this page. -->';

/** Formats a Markdown table, escaping pipes and line breaks in its cells. */
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
