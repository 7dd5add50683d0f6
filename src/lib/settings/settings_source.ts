/** The text of a settings file and the places of its settings. */
import {readFileSync} from 'node:fs';
import {isMap, isNode, isScalar, isSeq, LineCounter, parseDocument} from 'yaml';
import type {Document, Node, Pair} from 'yaml';
import {ErrorCode, SettingsError} from '../core/errors.js';
import type {SettingsMistake, SourcePosition} from './settings_mistake.js';

/** A fault of the YAML text itself. */
export interface SyntaxFault {
  readonly position: SourcePosition;
  readonly message: string;
}

/** A settings file that has been read and parsed, but not checked. */
export class SettingsSource {
  private constructor(
    /** Name of the file, as in messages. */
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

  /** Creates a source from text; `file` only names it in messages. */
  static createFromText(file: string, text: string): SettingsSource {
    const lines = new LineCounter();
    const document = parseDocument(text, {lineCounter: lines});
    return new SettingsSource(file, document, lines);
  }

  /** Lists the faults of the YAML text. */
  listFaults(): SyntaxFault[] {
    return this.document.errors.map(error => ({
      position: this.locateOffset(error.pos[0]),
      message: error.message.split('\n')[0].replace(/ at line .*$/, ''),
    }));
  }

  /** Returns the settings as plain values. */
  toValue(): unknown {
    return this.document.toJS();
  }

  /** Finds the place of a mistake, or of the nearest section around it. */
  locate(mistake: Pick<SettingsMistake, 'path' | 'isKey'>): SourcePosition {
    let node: Node | null = this.document.contents;
    let offset = node?.range?.[0] ?? 0;
    for (const [index, key] of mistake.path.entries()) {
      const isLast = index === mistake.path.length - 1;
      if (isMap(node)) {
        const pair = findPair(node.items, key);
        if (pair === undefined) return this.locateOffset(offset);
        offset = getOffset(pair.key) ?? offset;
        if (isLast && mistake.isKey) return this.locateOffset(offset);
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
