/** Parses settings files and locates settings in their text. */
import {readFileSync} from 'node:fs';
import {isMap, isNode, isScalar, isSeq, LineCounter, parseDocument} from 'yaml';
import type {Document, Node, Pair} from 'yaml';
import {ErrorCode, SettingsError} from '../core/errors.js';
import type {SettingsViolation, SourcePosition} from './settings_violation.js';

/** A syntax error in the YAML text. */
export interface YamlSyntaxError {
  readonly position: SourcePosition;
  readonly message: string;
}

/** A parsed settings file that has not been validated. */
export class SettingsSource {
  private constructor(
    /** Name of the file, for messages. */
    readonly file: string,
    private readonly document: Document.Parsed,
    private readonly lines: LineCounter,
  ) {}

  /**
   * Creates a source from a file.
   *
   * @throws SettingsError if the file cannot be read.
   */
  static create(file: string): SettingsSource {
    return SettingsSource.createFromText(file, readText(file));
  }

  /** Creates a source from text; `file` is used in messages only. */
  static createFromText(file: string, text: string): SettingsSource {
    const lines = new LineCounter();
    const document = parseDocument(text, {lineCounter: lines});
    return new SettingsSource(file, document, lines);
  }

  /** Lists the syntax errors of the YAML text. */
  listSyntaxErrors(): YamlSyntaxError[] {
    return this.document.errors.map(error => ({
      position: this.locateOffset(error.pos[0]),
      message: error.message.split('\n')[0].replace(/ at line .*$/, ''),
    }));
  }

  /** Returns the settings as plain values. */
  toValue(): unknown {
    return this.document.toJS();
  }

  /** Finds the position of a violation, or of the innermost section that contains it. */
  locate(violation: Pick<SettingsViolation, 'path' | 'isKey'>): SourcePosition {
    let node: Node | null = this.document.contents;
    let offset = node?.range?.[0] ?? 0;
    for (const [index, key] of violation.path.entries()) {
      const isLast = index === violation.path.length - 1;
      if (isMap(node)) {
        const pair = findPair(node.items, key);
        if (pair === undefined) return this.locateOffset(offset);
        offset = getOffset(pair.key) ?? offset;
        if (isLast && violation.isKey) return this.locateOffset(offset);
        node = isNode(pair.value) ? pair.value : null;
      } else if (isSeq(node)) {
        const item: unknown = node.items[Number(key)];
        node = isNode(item) ? item : null;
      }
      offset = getOffset(node) ?? offset;
    }
    return this.locateOffset(offset);
  }

  private locateOffset(offset: number): SourcePosition {
    const {line, col} = this.lines.linePos(offset);
    return {line: Math.max(line, 1), column: Math.max(col, 1)};
  }
}

function findPair(items: readonly Pair[], key: string): Pair | undefined {
  return items.find(
    ({key: node}) => isScalar(node) && String(node.value) === key,
  );
}

function getOffset(node: unknown): number | undefined {
  return isNode(node) ? node.range?.[0] : undefined;
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    throw new SettingsError(`Settings file ${file} cannot be read.`, {
      cause,
      props: {code: ErrorCode.SETTINGS_UNREADABLE},
    });
  }
}
