/** Checks that tables in the pages list exactly the names that the code defines. */
import {existsSync, readFileSync} from 'node:fs';
import {ExitCode} from '../src/lib/cli/exit_code.js';
import {ErrorCode} from '../src/lib/core/errors.js';
import {Outcome, Problem} from '../src/lib/core/job.js';
import {LogEvent} from '../src/lib/observe/log.js';
import {Counter, Gauge, Histogram} from '../src/lib/observe/metrics.js';

/** Names that the first column of a table must list. */
export interface NameList {
  readonly page: string;
  /** Heading of the section with the table. */
  readonly section: string;
  readonly names: readonly string[];
}

/** Lists of names that the pages repeat from the code. */
export const NAME_LISTS: readonly NameList[] = [
  {
    page: 'docs/ERRORS.md',
    section: 'Outcomes',
    names: Object.values(Outcome),
  },
  {
    page: 'docs/ERRORS.md',
    section: "Problems of the callers' API",
    names: Object.values(Problem),
  },
  {
    page: 'docs/ERRORS.md',
    section: 'Failures of programs',
    names: Object.values(ErrorCode),
  },
  {
    page: 'docs/ERRORS.md',
    section: 'Exit codes of `foxtailbay`',
    names: Object.values(ExitCode)
      .filter(code => typeof code === 'number')
      .map(String),
  },
  {
    page: 'docs/operations/SIGNALS.md',
    section: 'Log events',
    names: Object.values(LogEvent),
  },
  {
    page: 'docs/operations/SIGNALS.md',
    section: 'Metrics',
    names: [
      ...Object.values(Counter),
      ...Object.values(Histogram),
      ...Object.values(Gauge),
    ],
  },
];

/** Lists names that are missing from a page or are not defined in the code. */
export function findNameMismatches(list: NameList): string[] {
  const page = existsSync(list.page) ? readFileSync(list.page, 'utf8') : '';
  const listedNames = readFirstColumn(page, list.section);
  const location = `${list.page}, "${list.section}"`;
  return [
    ...list.names
      .filter(name => !listedNames.includes(name))
      .map(name => `${location}: \`${name}\` is missing`),
    ...listedNames
      .filter(name => !list.names.includes(name))
      .map(name => `${location}: \`${name}\` is not defined in the code`),
  ];
}

/** Reads the names in the first column of a section's table; empty if there is none. */
export function readFirstColumn(page: string, section: string): string[] {
  const body = page.split(`\n## ${section}\n`)[1]?.split('\n## ')[0] ?? '';
  return [...body.matchAll(/^\| `([^`]+)`/gm)].map(([, name]) => name);
}
