/** Formats tables as plain text. */

const COLUMN_SEPARATOR = '  ';

/** Formats rows below a heading, each column as wide as its longest cell. */
export function formatTable(
  heading: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [heading, ...rows];
  const widths = heading.map((_, column) =>
    Math.max(...lines.map(line => line[column].length)),
  );
  return lines
    .map(line =>
      line
        .map((cell, column) => cell.padEnd(widths[column]))
        .join(COLUMN_SEPARATOR)
        .trimEnd(),
    )
    .join('\n');
}
