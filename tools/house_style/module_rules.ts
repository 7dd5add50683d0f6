/** House-style rules on exports, imports, errors, purity and length of modules. */
import {posix} from 'node:path';
import ts from 'typescript';
import {hasModifier} from './naming_rules.js';
import {isTest, reportNode, visitNodes} from './source_files.js';
import type {FindViolations, SourceFile, Violation} from './source_files.js';

/** Maximum length of a source file that is not generated. */
const MAX_FILE_LINES = 300;

const DECISIONS_FOLDER = 'src/lib/decisions/';

/**
 * Modules outside `decisions` that decisions may import. State charts are among
 * them because they are part of the prescribed architecture.
 */
const ALLOWED_DECISION_IMPORTS = [
  'src/lib/core/chart',
  'src/lib/core/chart_file',
  'src/lib/core/chart_instance',
  'src/lib/core/errors',
  'src/lib/core/fleet_configuration',
  'src/lib/core/identity',
  'src/lib/core/job',
  'src/lib/core/link_messages',
  'src/lib/core/target_crash',
  'src/lib/core/work_frames',
  'src/lib/core/work_job',
  'src/lib/records/configuration_view',
];

/** Globals that read a clock, generate random numbers or do I/O. */
const FORBIDDEN_DECISION_GLOBALS = new Set([
  'Date',
  'performance',
  'process',
  'crypto',
  'setTimeout',
  'setInterval',
  'setImmediate',
  'fetch',
  'Buffer',
]);

/** Built-in errors, which carry no error code. */
const UNTYPED_ERRORS = new Set(['Error', 'TypeError', 'RangeError']);

/** The only module that may read clocks and start timers. */
const CLOCK_MODULE = 'src/lib/core/clock.ts';

/** Forbids default exports. */
export const findDefaultExports: FindViolations = file =>
  visitNodes<Violation>(file, node =>
    ts.isExportAssignment(node) ||
    hasModifier(node, ts.SyntaxKind.DefaultKeyword)
      ? [reportNode(file, node, 'default export')]
      : [],
  );

/**
 * Forbids throwing strings and creating built-in errors; `src/lib/core/errors.ts`
 * defines the error types to use.
 */
export const findUntypedErrors: FindViolations = file =>
  visitNodes<Violation>(file, node => {
    if (ts.isThrowStatement(node) && isStringExpression(node.expression)) {
      return [reportNode(file, node, 'throws a string instead of an error')];
    }
    if (!ts.isNewExpression(node)) return [];
    const name = node.expression.getText(file.tree);
    const isAllowedHere = isTest(file) && !isThrownError(node, name);
    return UNTYPED_ERRORS.has(name) && !isAllowedHere
      ? [
          reportNode(
            file,
            node,
            `"new ${name}" is no error type of the project`,
          ),
        ]
      : [];
  });

/** Forbids decisions that import transports, codecs, clocks or random numbers. */
export const findImpureDecisions: FindViolations = file => {
  if (!file.path.startsWith(DECISIONS_FOLDER)) return [];
  return visitNodes<Violation>(file, node => {
    if (ts.isImportDeclaration(node)) return checkDecisionImport(file, node);
    return ts.isIdentifier(node) && isForbiddenGlobal(node)
      ? [reportNode(file, node, `a decision uses "${node.text}"`)]
      : [];
  });
};

/** Forbids reading the wall clock outside the clock module. */
export const findClockReads: FindViolations = file =>
  file.path === CLOCK_MODULE || isTest(file)
    ? []
    : visitNodes<Violation>(file, node => {
        const text = ts.isPropertyAccessExpression(node)
          ? node.getText(file.tree)
          : '';
        return text === 'Date.now'
          ? [reportNode(file, node, `"${text}" outside ${CLOCK_MODULE}`)]
          : [];
      });

/** Forbids files longer than `MAX_FILE_LINES`. */
export const findLongFiles: FindViolations = ({path, tree}) => {
  const lines = tree.getLineStarts().length - 1;
  const message = `has ${lines} lines; the maximum is ${MAX_FILE_LINES}`;
  return lines > MAX_FILE_LINES ? [{path, line: 0, message}] : [];
};

function checkDecisionImport(
  file: SourceFile,
  node: ts.ImportDeclaration,
): Violation[] {
  const specifier = (node.moduleSpecifier as ts.StringLiteral).text;
  const target = posix
    .join(posix.dirname(file.path), specifier)
    .replace(/\.js$/, '');
  const isTypeOnly = node.importClause?.isTypeOnly === true;
  const isAllowed =
    specifier.startsWith('.') &&
    (target.startsWith(DECISIONS_FOLDER) ||
      ALLOWED_DECISION_IMPORTS.includes(target) ||
      (isTypeOnly && target === 'src/lib/core/clock'));
  return isAllowed
    ? []
    : [reportNode(file, node, `a decision imports "${specifier}"`)];
}

function isForbiddenGlobal(node: ts.Identifier): boolean {
  const isMember =
    ts.isPropertyAccessExpression(node.parent) && node.parent.name === node;
  const isMathRandom =
    isMember &&
    node.text === 'random' &&
    node.parent.getText().startsWith('Math.');
  const isDeclared =
    (ts.isPropertySignature(node.parent) ||
      ts.isPropertyAssignment(node.parent) ||
      ts.isParameter(node.parent) ||
      ts.isBindingElement(node.parent)) &&
    node.parent.name === node;
  if (isMathRandom) return true;
  return !isMember && !isDeclared && FORBIDDEN_DECISION_GLOBALS.has(node.text);
}

/** Tests may throw built-in errors other than `Error` to simulate foreign failures. */
function isThrownError(node: ts.NewExpression, name: string): boolean {
  return name === 'Error' && ts.isThrowStatement(node.parent);
}

function isStringExpression(node: ts.Expression): boolean {
  return ts.isStringLiteralLike(node) || ts.isTemplateExpression(node);
}
