/** Reads and parses the source files that the house-style rules apply to. */
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {basename, dirname, join} from 'node:path';
import ts from 'typescript';

/** One parsed source file. */
export interface SourceFile {
  /** Path from the project's root, with `/` between folders. */
  readonly path: string;
  readonly tree: ts.SourceFile;
}

/** A location at which code violates a rule. */
export interface Violation {
  readonly path: string;
  /** Line number from 1; 0 for the file as a whole. */
  readonly line: number;
  readonly message: string;
}

/** A rule: returns its violations in a file. */
export type FindViolations = (file: SourceFile) => readonly Violation[];

/** Folders whose sources are checked. */
export const SOURCE_FOLDERS = ['src', 'stand_ins', 'tools', 'test'];

/** Folder of generated code, which is not checked. */
const GENERATED_FOLDER = 'src/lib/wire/generated/';

/** Reads and parses all sources that are not generated. */
export function readSourceFiles(): SourceFile[] {
  return SOURCE_FOLDERS.flatMap(listFiles)
    .filter(path => path.endsWith('.ts') && !isGenerated(path))
    .map(path => parseSource(path, readFileSync(path, 'utf8')));
}

/** Parses the text of one source file. */
export function parseSource(path: string, text: string): SourceFile {
  const tree = ts.createSourceFile(path, text, ts.ScriptTarget.ES2022, true);
  return {path, tree};
}

/** Lists the folders that contain sources, without generated ones. */
export function listSourceFolders(): string[] {
  const paths = SOURCE_FOLDERS.flatMap(listFiles);
  const folders = paths
    .filter(path => path.endsWith('.ts') && !isGenerated(path))
    .map(path => dirname(path));
  return [...new Set(folders)].sort();
}

/** Returns whether a file holds tests or code that only tests use. */
export function isTest(file: SourceFile): boolean {
  return file.path.startsWith('test/');
}

/** Returns the name of a file without its folder and extension. */
export function getModuleName(path: string): string {
  return basename(path).replace(/\.[^.]*$/, '');
}

/** Creates a violation at the line of a node. */
export function reportNode(
  file: SourceFile,
  node: ts.Node,
  message: string,
): Violation {
  const {line} = file.tree.getLineAndCharacterOfPosition(
    node.getStart(file.tree),
  );
  return {path: file.path, line: line + 1, message};
}

/** Visits every node of a file and collects what `visit` returns. */
export function visitNodes<T>(
  file: SourceFile,
  visit: (node: ts.Node) => readonly T[],
): T[] {
  const found: T[] = [];
  const descend = (node: ts.Node): void => {
    found.push(...visit(node));
    ts.forEachChild(node, descend);
  };
  descend(file.tree);
  return found;
}

/** Formats a violation as `PATH:LINE: message`. */
export function formatViolation({path, line, message}: Violation): string {
  return `${path}:${line}: ${message}`;
}

function listFiles(folder: string): string[] {
  if (!existsSync(folder)) return [];
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const path = join(folder, entry.name).replaceAll('\\', '/');
    return entry.isDirectory() ? listFiles(path) : [path];
  });
}

function isGenerated(path: string): boolean {
  return path.startsWith(GENERATED_FOLDER);
}
