/** Splits received text into lines. */
import {RequestError} from '../../core/errors.js';

/**
 * Number of parts of an incomplete line from which they are joined. Each part takes
 * some 30 bytes beside its characters, which are few if the peer sends byte by byte.
 */
const PARTS_AT_MOST = 64;

/** Splits text into lines, and holds the part of a line that has no end yet. */
export class LineSplitter {
  private parts: string[] = [];
  private length = 0;

  private constructor(private readonly charactersAtMost: number) {}

  /** Creates a splitter that has received nothing. */
  static create(charactersAtMost: number): LineSplitter {
    return new LineSplitter(charactersAtMost);
  }

  /** Length of the incomplete line. */
  get unfinished(): number {
    return this.length;
  }

  /**
   * Adds text and returns the lines that it completes.
   *
   * @throws RequestError if a line exceeds the maximum length.
   */
  split(text: string): readonly string[] {
    const lines = text.split('\n');
    const rest = lines.pop() ?? '';
    if (lines.length > 0) {
      lines[0] = this.parts.join('') + lines[0];
      this.parts = [];
      this.length = 0;
    }
    if (rest !== '') this.parts.push(rest);
    this.length += rest.length;
    if (this.parts.length >= PARTS_AT_MOST) this.parts = [this.parts.join('')];
    const longest = Math.max(this.length, lines[0]?.length ?? 0);
    if (longest > this.charactersAtMost) {
      throw new RequestError(
        `A message is longer than ${this.charactersAtMost} characters.`,
      );
    }
    return lines;
  }

  /** Drops the incomplete line. */
  clear(): void {
    this.parts = [];
    this.length = 0;
  }
}
