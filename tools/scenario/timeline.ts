/** What happened in a run, line by line. */
import type {ReadMonotonicMs} from '../../src/lib/core/clock.js';

/** One line of a timeline. */
export interface TimelineLine {
  readonly atMs: number;
  readonly text: string;
}

/** Adds a line to a timeline. */
export type WriteLine = (text: string) => void;

/** Records what happened and when, from its creation. */
export class Timeline {
  readonly lines: TimelineLine[] = [];
  private readonly beganAtMs: number;

  private constructor(
    private readonly readMs: ReadMonotonicMs,
    private readonly show: (line: string) => void,
  ) {
    this.beganAtMs = readMs();
  }

  /** Creates an empty timeline; `show` is called with each formatted line. */
  static create(
    readMs: ReadMonotonicMs,
    show: (line: string) => void = () => undefined,
  ): Timeline {
    return new Timeline(readMs, show);
  }

  /** Adds a line. */
  readonly write: WriteLine = text => {
    const line = {atMs: this.readMs() - this.beganAtMs, text};
    this.lines.push(line);
    this.show(formatLine(line));
  };
}

/** Formats a line with its time in seconds. */
export function formatLine(line: TimelineLine): string {
  const seconds = (line.atMs / 1000).toFixed(3).padStart(8);
  return `${seconds} s  ${line.text}`;
}
