/** House-style rules on names of files and functions, enums and constructors. */
import ts from 'typescript';
import {getModuleName, reportNode, visitNodes} from './source_files.js';
import type {FindViolations, SourceFile, Violation} from './source_files.js';

/** Heading of the glossary section that lists the verbs. */
const VERBS_HEADING = '## Verbs';

/** Parses the allowed verbs from the text of `docs/GLOSSARY.md`. */
export function parseVerbs(glossary: string): ReadonlySet<string> {
  const section = glossary.split(VERBS_HEADING)[1]?.split('\n## ')[0] ?? '';
  const cells = section.matchAll(/`([a-z]+)`/g);
  return new Set([...cells].map(([, verb]) => verb));
}

/** Forbids index files and file names that are not in `snake_case`. */
export const findInvalidFileNames: FindViolations = ({path}) => {
  const name = getModuleName(path);
  if (name === 'index') {
    return [{path, line: 0, message: 'is an index file'}];
  }
  return /^[a-z][a-z0-9]*(_[a-z0-9]+)*$/.test(name)
    ? []
    : [{path, line: 0, message: 'is not named in snake_case'}];
};

/** Creates the rule that names of functions and methods begin with one of `verbs`. */
export function createVerbRule(verbs: ReadonlySet<string>): FindViolations {
  return file =>
    visitNodes(file, node => {
      const name = getFunctionName(node);
      if (name === undefined) return [];
      const verb = getFirstWord(name.text);
      if (verbs.has(verb)) return [];
      return [
        reportNode(
          file,
          name,
          `function "${name.text}" begins with "${verb}", which docs/GLOSSARY.md does not list as a verb`,
        ),
      ];
    });
}

/** Forbids `const enum`. */
export const findConstEnums: FindViolations = file =>
  visitNodes<Violation>(file, node =>
    ts.isEnumDeclaration(node) && hasModifier(node, ts.SyntaxKind.ConstKeyword)
      ? [reportNode(file, node, 'const enum')]
      : [],
  );

/**
 * Requires a private or protected constructor in each class, and a static
 * `create` method in each class that is not abstract.
 */
export const findPublicConstructors: FindViolations = file =>
  visitNodes<Violation>(file, node => {
    if (!ts.isClassDeclaration(node)) return [];
    const constructor = node.members.find(ts.isConstructorDeclaration);
    const isPrivate =
      constructor !== undefined &&
      (hasModifier(constructor, ts.SyntaxKind.PrivateKeyword) ||
        hasModifier(constructor, ts.SyntaxKind.ProtectedKeyword));
    if (!isPrivate) {
      return [reportNode(file, node, 'class without a private constructor')];
    }
    return hasCreateMethod(node) || isAbstract(node)
      ? []
      : [reportNode(file, node, 'class without a static "create" method')];
  });

function hasCreateMethod(node: ts.ClassDeclaration): boolean {
  return node.members.some(
    member =>
      ts.isMethodDeclaration(member) &&
      hasModifier(member, ts.SyntaxKind.StaticKeyword) &&
      member.name.getText().startsWith('create'),
  );
}

function isAbstract(node: ts.ClassDeclaration): boolean {
  return hasModifier(node, ts.SyntaxKind.AbstractKeyword);
}

/** Returns whether a declaration has a modifier such as `export`. */
export function hasModifier(node: ts.Node, kind: ts.SyntaxKind): boolean {
  if (!ts.canHaveModifiers(node)) return false;
  return (
    ts.getModifiers(node)?.some(modifier => modifier.kind === kind) ?? false
  );
}

function getFunctionName(node: ts.Node): ts.Identifier | undefined {
  const isNamed =
    ts.isFunctionDeclaration(node) ||
    ts.isMethodDeclaration(node) ||
    ((ts.isVariableDeclaration(node) || ts.isPropertyDeclaration(node)) &&
      isFunctionValue(node.initializer));
  if (!isNamed || node.name === undefined) return undefined;
  if (!ts.isIdentifier(node.name)) return undefined;
  return isConstantName(node.name.text) ? undefined : node.name;
}

/** Functions held by constants, such as defaults, need not begin with a verb. */
function isConstantName(name: string): boolean {
  return /^[A-Z0-9_]+$/.test(name);
}

function isFunctionValue(value: ts.Expression | undefined): boolean {
  return (
    value !== undefined &&
    (ts.isArrowFunction(value) || ts.isFunctionExpression(value))
  );
}

function getFirstWord(name: string): string {
  return /^[a-z0-9]+/.exec(name)?.[0] ?? name;
}

/** Lists the first words of a file's function names, for maintaining the glossary. */
export function listFunctionVerbs(file: SourceFile): string[] {
  return visitNodes(file, node => {
    const name = getFunctionName(node);
    return name === undefined ? [] : [getFirstWord(name.text)];
  });
}
