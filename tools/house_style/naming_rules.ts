/** House rules on the names of files and functions. */
import ts from 'typescript';
import {getModuleName, reportNode, visitNodes} from './source_files.js';
import type {FindViolations, SourceFile, Violation} from './source_files.js';

/** Heading in the glossary under which the verbs stand. */
const VERBS_HEADING = '## Verbs';

/** Reads the list of verbs from the text of `docs/GLOSSARY.md`. */
export function parseVerbs(glossary: string): ReadonlySet<string> {
  const section = glossary.split(VERBS_HEADING)[1]?.split('\n## ')[0] ?? '';
  const cells = section.matchAll(/`([a-z]+)`/g);
  return new Set([...cells].map(([, verb]) => verb));
}

/** Forbids index files and names that are not in `snake_case`. */
export const findInvalidFileNames: FindViolations = ({path}) => {
  const name = getModuleName(path);
  if (name === 'index') {
    return [{path, line: 0, message: 'is an index file'}];
  }
  return /^[a-z][a-z0-9]*(_[a-z0-9]+)*$/.test(name)
    ? []
    : [{path, line: 0, message: 'is not named in snake_case'}];
};

/** Returns the rule that functions and methods begin with a listed verb. */
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
          `function "${name.text}" begins with "${verb}", which is no verb of docs/GLOSSARY.md`,
        ),
      ];
    });
}

/** Forbids `const enum` and enums without doc comments on exported ones. */
export const findConstEnums: FindViolations = file =>
  visitNodes<Violation>(file, node =>
    ts.isEnumDeclaration(node) && hasModifier(node, ts.SyntaxKind.ConstKeyword)
      ? [reportNode(file, node, 'const enum')]
      : [],
  );

/** Forbids classes without a private constructor. */
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

/** Tells whether a declaration carries a modifier such as `export`. */
export function hasModifier(node: ts.Node, kind: ts.SyntaxKind): boolean {
  if (!ts.canHaveModifiers(node)) return false;
  return ts.getModifiers(node)?.some(one => one.kind === kind) ?? false;
}

function getFunctionName(node: ts.Node): ts.Identifier | undefined {
  const isNamed =
    ts.isFunctionDeclaration(node) ||
    ts.isMethodDeclaration(node) ||
    ((ts.isVariableDeclaration(node) || ts.isPropertyDeclaration(node)) &&
      isFunctionValue(node.initializer));
  if (!isNamed || node.name === undefined) return undefined;
  if (!ts.isIdentifier(node.name)) return undefined;
  return isConstant(node.name.text) ? undefined : node.name;
}

/** A function in a constant stands for a value, such as a default. */
function isConstant(name: string): boolean {
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

/** Lists the first words of a file's function names, to keep the glossary. */
export function listFunctionVerbs(file: SourceFile): string[] {
  return visitNodes(file, node => {
    const name = getFunctionName(node);
    return name === undefined ? [] : [getFirstWord(name.text)];
  });
}
