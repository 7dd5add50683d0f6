/** House-style rules on doc comments. */
import ts from 'typescript';
import {hasModifier} from './naming_rules.js';
import {isTest, reportNode, visitNodes} from './source_files.js';
import type {FindViolations, SourceFile, Violation} from './source_files.js';

/** Requires that each module begins with a doc comment of its own. */
export const findModulesWithoutComment: FindViolations = file => {
  if (isTest(file)) return [];
  const text = file.tree.text.replace(/^#!.*\n/, '');
  return /^\/\*\*/.test(text)
    ? []
    : [{path: file.path, line: 1, message: 'module has no doc comment'}];
};

/** Requires a doc comment on each exported item and public method. */
export const findItemsWithoutComment: FindViolations = file =>
  isTest(file)
    ? []
    : visitNodes<Violation>(file, node => {
        if (!isPublicItem(node) || hasDocComment(file, node)) return [];
        return [
          reportNode(file, node, `${describeItem(node)} has no doc comment`),
        ];
      });

/** Requires a sentence, closed by a punctuation mark, in each doc comment. */
export const findIncompleteComments: FindViolations = file =>
  visitNodes<Violation>(file, node => {
    if (!isPublicItem(node)) return [];
    const comments = ts.getJSDocCommentsAndTags(node).filter(ts.isJSDoc);
    const text = ts.getTextOfJSDocComment(comments.at(-1)?.comment) ?? '.';
    return /[.!?:;](\s|$|\))/.test(text)
      ? []
      : [
          reportNode(
            file,
            node,
            `doc comment has no complete sentence: "${text}"`,
          ),
        ];
  });

function isPublicItem(node: ts.Node): boolean {
  if (hasModifier(node, ts.SyntaxKind.ExportKeyword)) return true;
  return (
    ts.isMethodDeclaration(node) &&
    ts.isClassDeclaration(node.parent) &&
    hasModifier(node.parent, ts.SyntaxKind.ExportKeyword) &&
    !hasModifier(node, ts.SyntaxKind.PrivateKeyword) &&
    !hasModifier(node, ts.SyntaxKind.ProtectedKeyword) &&
    !hasModifier(node, ts.SyntaxKind.OverrideKeyword)
  );
}

function hasDocComment(file: SourceFile, node: ts.Node): boolean {
  const text = file.tree.text;
  const comments = (ts.getLeadingCommentRanges(text, node.pos) ?? []).filter(
    ({pos}) => text.startsWith('/**', pos),
  );
  const isFirst = file.tree.statements[0] === node;
  // The first comment of a file belongs to the module.
  return comments.length > (isFirst ? 1 : 0);
}

function describeItem(node: ts.Node): string {
  const declaration = ts.isVariableStatement(node)
    ? node.declarationList.declarations[0]
    : (node as ts.NamedDeclaration);
  return `"${declaration.name?.getText() ?? 'item'}"`;
}
