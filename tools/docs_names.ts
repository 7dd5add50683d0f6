/** Checks that pages name what the code has, all of it and nothing else. */
import {existsSync, readFileSync} from 'node:fs';
import {ExitCode} from '../src/lib/cli/exit_code.js';
import {ErrorCode} from '../src/lib/core/errors.js';
import {Outcome, Problem} from '../src/lib/core/job.js';
import {LogEvent} from '../src/lib/observe/log.js';
import {Counter, Gauge, Histogram} from '../src/lib/observe/metrics.js';

/** A list of names that a page must hold in the first column of a table. */
export interface NameList {
  readonly page: string;
  /** Heading of the section that holds the table. */
  readonly section: string;
  readonly names: readonly string[];
}

/** The lists that the pages repeat from the code. */
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

/** Lists names that a page lacks or has too many. */
export function findNameMismatches(list: NameList): string[] {
  const page = existsSync(list.page) ? readFileSync(list.page, 'utf8') : '';
  const listed = readFirstColumn(page, list.section);
  const place = `${list.page}, "${list.section}"`;
  return [
    ...list.names
      .filter(name => !listed.includes(name))
      .map(name => `${place} lacks \`${name}\``),
    ...listed
      .filter(name => !list.names.includes(name))
      .map(name => `${place} has \`${name}\`, which the code has not`),
  ];
}

/** Reads the names in the first column of a section's table. */
export function readFirstColumn(page: string, section: string): string[] {
  const body = page.split(`\n## ${section}\n`)[1]?.split('\n## ')[0] ?? '';
  return [...body.matchAll(/^\| `([^`]+)`/gm)].map(([, name]) => name);
}
