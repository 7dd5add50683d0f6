/** Writes the generated pages; with `--check`, checks all pages against the sources. */
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {program} from 'commander';
import {composeChartsPage} from './docs_charts.js';
import {findBrokenLinks, listPages} from './docs_links.js';
import {findNameMismatches, NAME_LISTS} from './docs_names.js';
import {composeSettingsPage} from './docs_settings.js';

/** A page that is generated from the sources. */
interface GeneratedPage {
  readonly path: string;
  readonly compose: () => string;
}

const PAGES: readonly GeneratedPage[] = [
  {path: 'docs/CHARTS.md', compose: composeChartsPage},
  {path: 'docs/SETTINGS.md', compose: composeSettingsPage},
];

program
  .name('docs')
  .option('--check', 'write nothing; list pages that do not match the sources')
  .parse();

if (program.opts<{check?: boolean}>().check) {
  reportFaults([
    ...PAGES.flatMap(findStalePage),
    ...listPages().flatMap(findBrokenLinks),
    ...NAME_LISTS.flatMap(findNameMismatches),
  ]);
} else {
  for (const {path, compose} of PAGES) writeFileSync(path, compose());
}

function findStalePage({path, compose}: GeneratedPage): string[] {
  const isCurrent =
    existsSync(path) && readFileSync(path, 'utf8') === compose();
  return isCurrent ? [] : [`${path} is out of date: run \`npm run docs\``];
}

function reportFaults(faults: readonly string[]): void {
  for (const fault of faults) process.stderr.write(`${fault}\n`);
  process.stdout.write(
    `${listPages().length} pages checked, ${faults.length} faults\n`,
  );
  process.exitCode = faults.length === 0 ? 0 : 1;
}
