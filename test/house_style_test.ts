import {existsSync, readFileSync} from 'node:fs';
import {expect} from 'chai';
import {
  findItemsWithoutComment,
  findModulesWithoutComment,
  findIncompleteComments,
} from '../tools/house_style/comment_rules.js';
import {
  findClockReads,
  findDefaultExports,
  findImpureDecisions,
  findLongFiles,
  findUntypedErrors,
} from '../tools/house_style/module_rules.js';
import {
  createVerbRule,
  findConstEnums,
  findInvalidFileNames,
  findPublicConstructors,
  parseVerbs,
} from '../tools/house_style/naming_rules.js';
import {
  formatViolation,
  listSourceFolders,
  parseSource,
  readSourceFiles,
} from '../tools/house_style/source_files.js';
import type {FindViolations} from '../tools/house_style/source_files.js';

/** A rule, with code that it must reject: otherwise a rule that finds nothing would pass. */
interface Rule {
  readonly name: string;
  readonly find: FindViolations;
  readonly badPath?: string;
  readonly badText: string;
}

const VERBS = parseVerbs(readFileSync('docs/GLOSSARY.md', 'utf8'));

const RULES: readonly Rule[] = [
  {
    name: 'has no index files and names files in snake_case',
    find: findInvalidFileNames,
    badPath: 'src/lib/core/index.ts',
    badText: '',
  },
  {
    name: 'has no default exports',
    find: findDefaultExports,
    badText: 'export default function run() {}',
  },
  {
    name: 'begins functions and methods with a verb of the glossary',
    find: createVerbRule(VERBS),
    badText: 'const jobsWaiting = () => 1;',
  },
  {
    name: 'has no const enum',
    find: findConstEnums,
    badText: 'const enum Colour {RED}',
  },
  {
    name: 'gives classes private constructors and a static create',
    find: findPublicConstructors,
    badText: 'class Box { constructor() {} static create() {} }',
  },
  {
    name: 'throws only typed errors',
    find: findUntypedErrors,
    badText: 'function run() { throw new Error("no"); }',
  },
  {
    name: 'keeps decisions free of transports, codecs, clocks and random numbers',
    find: findImpureDecisions,
    badPath: 'src/lib/decisions/a.ts',
    badText: "import {request} from 'undici';",
  },
  {
    name: 'reads no wall clock outside the clock module',
    find: findClockReads,
    badText: 'const now = Date.now();',
  },
  {
    name: 'keeps files within the maximum length',
    find: findLongFiles,
    badText: '\n'.repeat(400),
  },
  {
    name: 'begins modules with a doc comment',
    find: findModulesWithoutComment,
    badText: 'export const A = 1;',
  },
  {
    name: 'has a doc comment on each exported item',
    find: findItemsWithoutComment,
    badText: '/** A module. */\nexport const A = 1;',
  },
  {
    name: 'writes doc comments as sentences',
    find: findIncompleteComments,
    badText: '/** no sentence */\nexport const A = 1;',
  },
];

describe('The code base', () => {
  const files = readSourceFiles();

  for (const rule of RULES) {
    it(rule.name, () => {
      const bad = parseSource(rule.badPath ?? 'src/lib/bad.ts', rule.badText);
      expect(rule.find(bad), 'the rule does not reject its bad example').not.to
        .be.empty;
      const found = files.flatMap(file => rule.find(file));
      expect(found.map(formatViolation)).to.deep.equal([]);
    });
  }

  it('has a README in each folder with sources', () => {
    const folders = listSourceFolders().filter(
      folder => !folder.startsWith('test/'),
    );
    const missing = folders.filter(
      folder => !existsSync(`${folder}/README.md`),
    );
    expect(missing).to.deep.equal([]);
  });
});

describe('The rule on decisions', () => {
  for (const text of [
    'const at = performance.now();',
    'const share = Math.random();',
    'function run() { setTimeout(run, 1); }',
    "import {createServer} from 'node:http';",
    "import {encode} from '../wire/link_codec.js';",
    "import {readMonotonicMs} from '../core/clock.js';",
  ]) {
    it(`rejects ${text}`, () => {
      const file = parseSource('src/lib/decisions/a.ts', text);
      expect(findImpureDecisions(file)).to.have.length.above(0);
    });
  }

  for (const text of [
    "import type {ReadMonotonicMs} from '../core/clock.js';",
    "import {Outcome} from '../core/job.js';",
    'function compute(random: () => number) { return random(); }',
  ]) {
    it(`accepts ${text}`, () => {
      const file = parseSource('src/lib/decisions/a.ts', text);
      expect(findImpureDecisions(file)).to.deep.equal([]);
    });
  }
});
